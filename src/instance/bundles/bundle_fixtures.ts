/** Routing, items and runs of bundles for tests. */
import {createSilentLog} from '../../common/log.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createRoutingTable} from '../routing/routing_table.js';
import {createBundleRun, type BundleRunDependencies} from './bundle_run.js';
import type {BundleFields, BundleItem} from './bundle_types.js';
import type {BundleProgress} from './item_progress.js';

export const LIFETIME_MS = 60_000;
export const DUE_MS = 18_000;

/** Fields of a bundle that was accepted at time 0 and routing version 1. */
export const OPEN_FIELDS: BundleFields = {
  account: 'planner',
  route: 'lots',
  acceptedAt: 0,
  routingVersion: 1,
  listed: '',
  state: 'open',
  epoch: 1,
  total: 1,
  tokens: 0,
  object: '',
  digest: '',
};

export function makeItem(id: string): BundleItem {
  return {
    id,
    target: '/lots/x/1',
    headers: [],
    body: '',
    promptTokens: 100,
    answerTokens: 50,
    tokens: 0,
  };
}

/** Creates routing with the route `lots` to the service `reader`. */
export function createLotsRouting() {
  const routing = createRoutingTable();
  const route = {
    name: 'lots',
    host: 'desk.example',
    targets: [{service: 'reader', weight: 1}],
    maxAttempts: 2,
    itemLifetimeMs: LIFETIME_MS,
    dueMs: DUE_MS,
  };
  const document = {version: 1, routes: [route], services: [], accounts: []};
  routing.apply(document as never);
  return routing;
}

/** Creates the run of a bundle on virtual time; `changed` replaces dependencies. */
export function createTestRun(
  ids: readonly string[],
  changed: Partial<Record<keyof BundleRunDependencies, unknown>> = {},
  progress?: BundleProgress,
) {
  const clock = createVirtualClock();
  const dependencies = {
    clock,
    time: {read: () => clock.now()},
    log: createSilentLog(),
    store: {commitResults: () => new Promise(() => {})},
    routing: createLotsRouting(),
    onEnd() {},
    onWork() {},
    ...changed,
  };
  const fields = {...OPEN_FIELDS, total: ids.length};
  const run = createBundleRun(
    dependencies as never,
    {id: 'b1', version: 1, fields},
    ids.map(makeItem),
    progress,
  );
  return {clock, run};
}
