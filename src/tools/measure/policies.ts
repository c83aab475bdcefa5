/** The policies that `npm run measure` compares. */
import type {SimulationParts} from '../../plays/simulation.js';
import {createDividedGate} from '../../plays/rate_gate.js';
import {
  createLeastConnectionsScheduler,
  createRoundRobinScheduler,
} from './baselines.js';

/** Name and parts of each policy; the first is the product's. */
export const POLICIES: readonly {
  name: string;
  parts: Partial<SimulationParts>;
}[] = [
  {name: 'mulberryrouter', parts: {}},
  {
    name: 'FIFO, round robin',
    parts: {createScheduler: createRoundRobinScheduler},
  },
  {
    name: 'least connections, no batch control',
    parts: {createScheduler: createLeastConnectionsScheduler},
  },
  {
    name: 'rate divided by instances',
    parts: {createGate: createDividedGate},
  },
];
