/** The product's policy with one mechanism switched off at a time. */
import {ALL_MECHANISMS} from '../../decisions/mechanisms.js';
import {createPoolScheduler} from '../../decisions/pool_scheduler.js';
import type {SimulationParts} from '../../plays/simulation.js';

/** Lists the name and parts of each reduced policy; the first is the complete one. */
export function buildAblations(): {
  name: string;
  parts: Partial<SimulationParts>;
}[] {
  const names = Object.keys(ALL_MECHANISMS);
  return [
    {name: 'whole', parts: {}},
    ...names.map(name => ({
      name: `without ${name}`,
      parts: {
        createScheduler: (limits: {maxConcurrency: number}) =>
          createPoolScheduler(limits, {...ALL_MECHANISMS, [name]: false}),
      },
    })),
  ];
}
