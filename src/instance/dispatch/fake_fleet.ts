/** Dispatch of several instances on one virtual clock, for tests. */
import {createSilentLog} from '../../common/log.js';
import {createMetrics} from '../../common/metrics.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {makeEndpoint} from '../../testing/fixtures.js';
import type {SlotRequest, WorkClass} from './dispatch.js';
import {buildDispatchRouter} from './dispatch_router.js';
import {createFleetDispatch, type FleetDispatch} from './fleet_dispatch.js';
import type {DispatchPeers} from './remote_dispatcher.js';

type Caller = ReturnType<
  ReturnType<typeof buildDispatchRouter>['createCaller']
>;

/** Network faults that a test injects. */
export interface FakeNetwork {
  /** Instances whose calls and responses are all lost. */
  silent: Set<string>;
  /** Instances whose responses to `acquire` are lost after taking effect. */
  losesAnswers: Set<string>;
  /** Addresses of endpoints that an instance no longer lists, by instance. */
  unlisted: Map<string, readonly string[]>;
}

const SERVICE = 'drum-reader';
const MAX_CONCURRENCY = 4;

function makeEntry(address: string): ListedInstance {
  return {
    ...makeEndpoint(address),
    name: address,
    role: 'entry',
    service: undefined,
  };
}

/** Options of a fake fleet. */
export interface FakeFleetOptions {
  hasGather?: boolean;
  /** Memory of each endpoint, if the service states it. */
  memoryTokens?: number;
}

/**
 * Creates instances at `addresses`, all with the same view. With `hasGather`
 * they report to a new dispatcher which slots they hold.
 */
export function createFakeFleet(
  addresses: readonly string[],
  endpoints: readonly ListedInstance[],
  {hasGather = false, memoryTokens}: FakeFleetOptions = {},
) {
  const clock = createVirtualClock();
  const network: FakeNetwork = {
    silent: new Set(),
    losesAnswers: new Set(),
    unlisted: new Map(),
  };
  const callers = new Map<string, Caller>();
  const live = new Set(addresses);

  function createPeers(self: string): DispatchPeers {
    function createProcedure(target: string, name: 'acquire' | 'report') {
      return {
        query: async (input: never) => {
          if (!hasGather) return {slots: []};
          return callers.get(target)!.describePool(input);
        },
        mutate: async (input: never) => {
          if (network.silent.has(target) || network.silent.has(self)) {
            return new Promise(() => {});
          }
          const answer = await callers.get(target)![name](input);
          if (name === 'acquire' && network.losesAnswers.has(target)) {
            return new Promise(() => {});
          }
          return answer;
        },
      };
    }
    return {
      get: (target: string) =>
        ({
          dispatch: new Proxy(
            {},
            {get: (_, name) => createProcedure(target, name as 'acquire')},
          ),
        }) as never,
    };
  }

  function createInstance(address: string): FleetDispatch {
    const dispatch = createFleetDispatch({
      clock,
      members: {
        self: {
          name: address,
          address,
          region: 'klang',
          failureDomain: 'klang-a',
          incarnation: address,
        },
        listLive: () => [...live].map(makeEntry),
        listListedPeers: () => addresses.slice(1).map(makeEntry),
        listEndpoints: () =>
          endpoints.filter(
            each => !network.unlisted.get(address)?.includes(each.address),
          ),
        poll: async () => {},
      } as never,
      services: {
        findConcurrency: () => MAX_CONCURRENCY,
        findWarmUp: () => undefined,
        findMemoryTokens: () => memoryTokens,
        listServices: () => [SERVICE],
      },
      peers: createPeers(address),
      log: createSilentLog(),
      metrics: createMetrics(),
    });
    const router = buildDispatchRouter({
      clock,
      pools: dispatch.pools,
      yieldSlot: dispatch.yieldSlot,
      noteMoved: dispatch.noteMoved,
      describePool: dispatch.describePool,
      findEndpoint: dispatch.findEndpoint,
    });
    callers.set(
      address,
      router.createCaller({peerName: '', peerIncarnation: ''}),
    );
    return dispatch;
  }

  const instances = new Map(
    addresses.map(address => [address, createInstance(address)]),
  );
  const owner = [...instances].find(
    ([, dispatch]) => dispatch.listOwnServices().length > 0,
  )!;
  const others = [...instances].filter(([address]) => address !== owner[0]);
  return {clock, network, live, owner, others, instances};
}

/** Makes a request whose deadline is 60,000 ms. */
export function makeSlotRequest(
  requestId: string,
  workClass: WorkClass = 'online',
  overrides: Partial<SlotRequest> = {},
): SlotRequest {
  return {
    requestId,
    service: SERVICE,
    account: 'gate',
    weight: 1,
    workClass,
    model: 'drum-reader-7b',
    deadline: 60_000,
    promptTokens: 100,
    answerTokens: 50,
    prefixHashes: [],
    avoid: [],
    signal: new AbortController().signal,
    ...overrides,
  };
}
