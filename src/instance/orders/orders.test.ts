import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {StoreError} from '../../stores/table_store.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {ENGINE_DOCUMENT, makeEndpoint} from '../../testing/fixtures.js';
import {parseServiceDocument} from '../configuration/service_document.js';
import type {
  EndpointOrder,
  OrderOutcome,
} from '../endpoints/endpoint_adapter.js';
import {
  createInstanceLease,
  LEASE_DURATION_MS,
  LEASE_RENEWAL_INTERVAL_MS,
} from '../members/instance_lease.js';
import {
  ORDER_SETTLE_TIME_MS,
  ORDERS_INTERVAL_MS,
  RECORDS_RELOAD_INTERVAL_MS,
  WEIGHT_LOADS_PER_ROUND,
} from './constants.js';
import {createOrders} from './orders.js';
import {placeModels, EMPTY_PLACEMENT} from './placement.js';

const MODELS = `
[model.drum-reader-7b]
version = 3
adapters = gate, wash
role = both
`;

/**
 * Creates engines that record the orders they receive, and instances that may
 * send orders.
 */
function createOrderFleet(fencing: 'enforced' | 'ignored', engines = 2) {
  const clock = createVirtualClock();
  const platform = createMemoryPlatform(clock);
  let text = ENGINE_DOCUMENT + MODELS;
  const received: {engine: string; by: string; order: EndpointOrder}[] = [];
  const highest = new Map<string, number>();
  const endpoints = Array.from({length: engines}, (_, at) =>
    makeEndpoint(`127.0.0.1:${9000 + at}`),
  );
  const ranking: string[] = [];

  function receiveOrder(
    engine: string,
    by: string,
    order: EndpointOrder,
  ): OrderOutcome {
    const seen = highest.get(engine) ?? 0;
    if (fencing === 'enforced' && order.fencing < seen) {
      return {kind: 'refused', fencing: seen};
    }
    highest.set(engine, Math.max(seen, order.fencing));
    received.push({engine, by, order});
    return {kind: 'taken'};
  }

  function createMember(name: string) {
    const lease = createInstanceLease(platform.table, `run-of-${name}`);
    const member = {
      name,
      /** Called before an order is sent, to inject a pause or a failure. */
      onSend: async () => {},
      renew: () => lease.renew(clock.now()),
      orders: createOrders({
        clock,
        table: platform.table,
        lease,
        members: {
          self: {name} as never,
          rankInstances: () => ranking.map(one => ({name: one}) as never),
          listEndpoints: () => endpoints,
        },
        configuration: {
          list: () => [
            {
              version: 1,
              document: parseServiceDocument(
                text.replace(
                  '[account.gate]',
                  `[endpoint]\nfencing = ${fencing}\n\n[account.gate]`,
                ),
                'test',
              ),
            },
          ],
        },
        async sendOrder({endpoint}, order) {
          await member.onSend();
          return receiveOrder(endpoint.name, name, order);
        },
      }),
    };
    ranking.push(name);
    return member;
  }

  /** Runs rounds of the given members for the given time. */
  async function runFor(
    ms: number,
    ...members: ReturnType<typeof createMember>[]
  ) {
    const until = clock.now() + ms;
    while (clock.now() < until) {
      for (const member of members) {
        if (clock.now() % LEASE_RENEWAL_INTERVAL_MS === 0) await member.renew();
        await member.orders.poll().catch(error => {
          if (!(error instanceof StoreError)) throw error;
        });
      }
      await clock.advanceAsync(ORDERS_INTERVAL_MS);
    }
  }

  return {
    clock,
    platform,
    endpoints,
    ranking,
    received,
    createMember,
    runFor,
    setModels(models: string) {
      text = ENGINE_DOCUMENT + models;
    },
  };
}

describe('orders', () => {
  it('change an engine step by step to what the document specifies', async () => {
    const fleet = createOrderFleet('enforced', 1);
    const member = fleet.createMember('entry-1');
    await fleet.runFor(60_000, member);
    const kinds = () =>
      fleet.received.map(({order}) => `${order.kind} ${order.name}`);
    assert.deepEqual(kinds(), [
      'load-model drum-reader-7b',
      'set-version 3',
      'load-adapter gate',
      'load-adapter wash',
      'set-role both',
    ]);
    fleet.received.length = 0;
    fleet.setModels(MODELS.replace('gate, wash', 'wash').replace('3', '4'));
    await fleet.runFor(60_000, member);
    assert.deepEqual(kinds(), ['set-version 4', 'unload-adapter gate']);
    const {writes} = fleet.platform.counts;
    await fleet.runFor(LEASE_RENEWAL_INTERVAL_MS, member);
    assert.equal(fleet.platform.counts.writes - writes, 1);
  });

  it('do not overload the weight store', async () => {
    // Guards against a fleet in which all engines fetch weights at the same
    // time when it starts. The store can serve only a few at a time, and would
    // serve none of them in time.
    const fleet = createOrderFleet('enforced', 40);
    fleet.endpoints.forEach((endpoint, at) => {
      endpoint.region = `region-${at % 8}`;
    });
    const member = fleet.createMember('entry-1');
    for (let round = 1; round <= 6; round++) {
      await fleet.runFor(ORDERS_INTERVAL_MS, member);
      const loads = fleet.received.filter(
        ({order}) => order.kind !== 'set-role',
      );
      assert.equal(loads.length, round * WEIGHT_LOADS_PER_ROUND);
    }
  });

  for (const fencing of ['enforced', 'ignored'] as const) {
    it(`from an orderer paused past its lease do no lasting harm, fencing ${fencing}`, async () => {
      // Guards against an engine that returns to an old version: the orderer is
      // paused just before an order is sent, another one takes over and orders
      // the next version, and the first one resumes. Engines that enforce
      // fencing refuse its number. For the others, the new orderer waits until
      // orders in flight can no longer arrive. An order that a longer pause
      // lets through is corrected by means of its record.
      const fleet = createOrderFleet(fencing, 1);
      const first = fleet.createMember('entry-1');
      const second = fleet.createMember('entry-2');
      for (let round = 0; round < 2; round++) {
        const [old, next] = round === 0 ? [first, second] : [second, first];
        fleet.ranking.splice(0, 2, old.name, next.name);
        await fleet.runFor(120_000, old, next);
        fleet.received.length = 0;
        fleet.setModels(MODELS.replace('3', `${5 + 2 * round}`));
        let resume = () => {};
        const paused = new Promise<void>(resolve => (resume = resolve));
        old.onSend = () => paused;
        const pausedRound = old.orders.poll();
        await fleet.clock.advanceAsync(0);
        fleet.setModels(MODELS.replace('3', `${6 + 2 * round}`));
        fleet.ranking.reverse();
        const takenAt = fleet.clock.now() + LEASE_DURATION_MS;
        await fleet.runFor(LEASE_DURATION_MS + 2 * ORDERS_INTERVAL_MS, next);
        const early = fleet.received.length;
        if (fencing === 'ignored') assert.equal(early, 0);
        else assert.ok(early > 0);
        await fleet.runFor(ORDER_SETTLE_TIME_MS + 60_000, next);
        assert.ok(fleet.clock.now() > takenAt);
        const before = fleet.received.length;
        resume();
        old.onSend = async () => {};
        await pausedRound.catch(() => {});
        const late = fleet.received.slice(before);
        assert.equal(late.length, fencing === 'enforced' ? 0 : 1);
        await fleet.runFor(RECORDS_RELOAD_INTERVAL_MS + 60_000, next);
        const versions = fleet.received.filter(
          ({order}) => order.kind === 'set-version',
        );
        const last = versions.at(-1)!;
        assert.deepEqual(
          [last.by, last.order.name],
          [next.name, `${6 + 2 * round}`],
        );
      }
    });
  }

  it('are sent again when their response or their record is lost', async () => {
    // Guards against an engine whose state stays unknown forever: an order is
    // in flight when the store loses a response, or the engine does not
    // respond. The record shows that an order may be in flight, and the next
    // round starts that engine again.
    for (const lost of ['record', 'order', 'record']) {
      const fleet = createOrderFleet('enforced', 1);
      const member = fleet.createMember('entry-1');
      await member.renew();
      await fleet.platform.table.get({partition: 'orders', sort: 'orderer'});
      if (lost === 'record')
        fleet.platform.faults.answersToLoseOf = {orders: 1, placements: 2};
      else member.onSend = () => Promise.reject(new Error('no answer'));
      await member.orders.poll().catch(() => {});
      await member.orders.poll().catch(() => {});
      member.onSend = async () => {};
      await fleet.runFor(80_000, member);
      const last = fleet.received.at(-1)?.order;
      assert.deepEqual([last?.kind, last?.name], ['set-role', 'both']);
      const fencings = new Set(fleet.received.map(({order}) => order.fencing));
      assert.deepEqual([...fencings], [1]);
    }
  });

  it('move to the instance that ranks first', async () => {
    const fleet = createOrderFleet('enforced', 1);
    const first = fleet.createMember('entry-1');
    const second = fleet.createMember('entry-2');
    await fleet.runFor(10_000, first, second);
    fleet.ranking.reverse();
    await fleet.runFor(60_000, first, second);
    assert.deepEqual(
      [...new Set(fleet.received.map(({by}) => by))],
      ['entry-1', 'entry-2'],
    );
    const numbers = fleet.received.map(({order}) => order.fencing);
    assert.deepEqual(
      numbers,
      [...numbers].sort((a, b) => a - b),
    );
  });
});

describe('placement', () => {
  it('refuses a model that no request may name', () => {
    assert.throws(
      () => parseServiceDocument(`${ENGINE_DOCUMENT}\n[model.other]\n`, 'test'),
      /model \/ other.*is not among the models/,
    );
  });

  const endpoints = Array.from({length: 10}, (_, at) =>
    makeEndpoint(`127.0.0.1:${9000 + at}`),
  );
  const document = parseServiceDocument(
    `${ENGINE_DOCUMENT.replace('drum-reader-7b', 'big, left, right, elsewhere')}
[model.big]
endpoints = 3
[model.left]
[model.right]
[model.elsewhere]
regions = penang
`,
    'test',
  );
  const count = (assigned: ReturnType<typeof placeModels>) => {
    const counts: Record<string, number> = {};
    for (const {model} of assigned.values()) {
      counts[model] = (counts[model] ?? 0) + 1;
    }
    return counts;
  };

  it('assigns fixed numbers of engines first and shares the rest', () => {
    const assigned = placeModels(document, endpoints, () => EMPTY_PLACEMENT);
    assert.deepEqual(count(assigned), {big: 3, left: 4, right: 3});
  });

  it('moves no engine that can stay when another one is lost', () => {
    const before = placeModels(document, endpoints, () => EMPTY_PLACEMENT);
    const gone = endpoints.findIndex(
      ({name}) => before.get(name)?.model === 'left',
    );
    const rest = endpoints.filter((_, at) => at !== gone);
    const after = placeModels(
      document,
      rest,
      ({name}) => before.get(name) ?? EMPTY_PLACEMENT,
    );
    assert.deepEqual(count(after), {big: 3, left: 3, right: 3});
    for (const {name} of rest) {
      assert.equal(after.get(name)?.model, before.get(name)?.model);
    }
  });
});
