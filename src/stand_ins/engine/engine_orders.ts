/** Orders of the engine stand-in: models, adapters, versions and roles. */
import * as z from 'zod';
import type {EngineOptions} from './engine_options.js';

/** Schema of an order; each new orderer has a higher `fencing` number. */
export const engineOrderSchema = z.strictObject({
  kind: z.enum([
    'load-model',
    'load-adapter',
    'unload-adapter',
    'set-version',
    'set-role',
  ]),
  /** Name of the model, adapter, version or role. */
  name: z.string(),
  fencing: z.number().int().nonnegative(),
});

/** A validated order. */
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** State of the engine as set by orders. */
export interface EngineRole {
  model: string;
  adapters: string[];
  version: string;
  role: string;
  /** Highest fencing number seen. */
  fencing: number;
}

/** Applies orders to an engine. */
export interface EngineOrders {
  /** Returns false if the order is fenced: its number is old and is enforced. */
  apply(order: EngineOrder): boolean;
  getRole(): EngineRole;
  /** Lists every applied order, so that tests can find late ones. */
  listApplied(): readonly EngineOrder[];
}

type OrderHandler = (role: EngineRole, name: string) => EngineRole;

const ORDER_HANDLERS: Record<EngineOrder['kind'], OrderHandler> = {
  'load-model': (role, model) => ({...role, model}),
  'load-adapter': (role, name) => ({
    ...role,
    adapters: [...new Set([...role.adapters, name])],
  }),
  'unload-adapter': (role, name) => ({
    ...role,
    adapters: role.adapters.filter(adapter => adapter !== name),
  }),
  'set-version': (role, version) => ({...role, version}),
  'set-role': (role, name) => ({...role, role: name}),
};

/** Creates the orders of an engine that has no model yet. */
export function createEngineOrders(options: EngineOptions): EngineOrders {
  const applied: EngineOrder[] = [];
  let role: EngineRole = {
    model: '',
    adapters: [],
    version: '',
    role: 'both',
    fencing: 0,
  };

  return {
    apply(order) {
      const isOld = order.fencing < role.fencing;
      if (isOld && options.fencing === 'enforced') return false;
      applied.push(order);
      const fencing = Math.max(role.fencing, order.fencing);
      role = {...ORDER_HANDLERS[order.kind](role, order.name), fencing};
      return true;
    },
    getRole: () => role,
    listApplied: () => applied,
  };
}
