/**
 * Passes the engines' own reports to the schedulers: their load, which is
 * seconds old, and their cache events, which arrive late and with gaps. Only
 * the dispatcher of a pool polls its endpoints, so that not every instance
 * does.
 */
import {RouterError} from '../../common/errors.js';
import type {Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Configuration} from '../configuration/configuration.js';
import type {
  AdapterTable,
  EndpointTarget,
  EngineControl,
} from '../endpoints/endpoint_adapter.js';
import type {PoolDispatcher} from './pool_dispatcher.js';
import type {OpenPool, PoolTable} from './pool_table.js';

export interface EndpointObserverDependencies {
  clock: Clock;
  pools: PoolTable;
  listEndpointsOf(service: string, poolName: string): ListedInstance[];
  configuration: Configuration;
  adapters: AdapterTable;
  metrics: Metrics;
}

/** Polls the endpoints of the pools that this instance dispatches for. */
export interface EndpointObserver {
  /** Polls each endpoint once; failures are counted and skipped. */
  poll(): Promise<void>;
}

/** Creates an observer that tracks the last cache event of each endpoint. */
export function createEndpointObserver({
  clock,
  pools,
  listEndpointsOf,
  configuration,
  adapters,
  metrics,
}: EndpointObserverDependencies): EndpointObserver {
  const lastSequences = new Map<string, number>();
  const failures = metrics.createCounter(
    'dispatch_observations_failed_total',
    'Load or cache reports that an endpoint did not give',
  );

  /** Converts an engine's wall time to this instance's monotonic clock. */
  function convertTime(at: number): number {
    const ageMs = Math.max(0, clock.wallNow() - at);
    return clock.now() - ageMs;
  }

  async function observeEndpoint(
    control: EngineControl,
    dispatcher: PoolDispatcher,
    target: EndpointTarget,
  ) {
    const {address} = target.endpoint;
    const load = await control.fetchLoad(target);
    dispatcher.noteLoad(address, {...load, at: convertTime(load.at)});
    const after = lastSequences.get(address) ?? 0;
    const events = await control.fetchCacheEvents(target, after);
    for (const event of events) dispatcher.noteCacheEvent(address, event);
    lastSequences.set(address, events.at(-1)?.sequence ?? after);
  }

  async function observePool({name, service, dispatcher}: OpenPool) {
    const document = configuration.find(service)?.document;
    const control = document && adapters[document.service.kind].control;
    if (!document || !control) return;
    const observations = listEndpointsOf(service, name).map(endpoint =>
      observeEndpoint(control, dispatcher, {
        endpoint,
        limits: document.endpoint,
      }),
    );
    for (const result of await Promise.allSettled(observations)) {
      if (result.status === 'fulfilled') continue;
      if (!(result.reason instanceof RouterError)) throw result.reason;
      failures.inc();
    }
  }

  return {
    async poll() {
      await Promise.all(pools.list().map(observePool));
    },
  };
}
