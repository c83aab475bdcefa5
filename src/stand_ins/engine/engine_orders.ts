/** Orders that an engine stand-in takes: models, adapters, versions, role. */
import * as z from 'zod';
import type {EngineOptions} from './engine_options.js';

/** Body of an order. `fencing` grows with each new orderer. */
export const engineOrderSchema = z.strictObject({
  kind: z.enum([
    'load-model',
    'load-adapter',
    'unload-adapter',
    'set-version',
    'set-role',
  ]),
  /** Model, adapter, version or role by name. */
  name: z.string(),
  fencing: z.number().int().nonnegative(),
});

/** A checked order. */
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** What the orders have made of the engine. */
export interface EngineRole {
  model: string;
  adapters: string[];
  version: string;
  role: string;
  /** Highest fencing number seen. */
  fencing: number;
}

/** Takes orders. */
export interface EngineOrders {
  /** False when the order carries an old number and the engine minds. */
  apply(order: EngineOrder): boolean;
  getRole(): EngineRole;
  /** Every order taken, to find one that came too late. */
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

/** Starts with no model named. */
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
