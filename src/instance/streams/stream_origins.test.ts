/** Origins of streams over several instances and one store, on virtual time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {RouterError} from '../../common/errors.js';
import {createSilentLog} from '../../common/log.js';
import {createMetrics} from '../../common/metrics.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {StoreError, type TableStore} from '../../stores/table_store.js';
import {
  CLEANUP_INTERVAL_MS,
  KEEPER_TIMEOUT_MS,
  NOTE_TRANSIT_MS,
  ROW_RETENTION_MS,
  WRITE_INTERVAL_MS,
} from './constants.js';
import {createStoredOrigins} from './stored_origins.js';
import {createStreamOrigins, type StreamOrigins} from './stream_origins.js';

const POOL = 'reader/klang/0';
const SIBLING = 'reader/klang/1';
const UNKNOWN = {code: 'stream_unknown', verdict: 'not-run'};

/** Instances `a` to `e`; the first one that is alive keeps the origins. */
function createFleet() {
  const clock = createVirtualClock();
  const memory = createMemoryPlatform(clock);
  const calls = {transact: 0, query: 0};
  const store = {isDown: false, isSlow: false};
  const alive = new Set(['a', 'b', 'c', 'd', 'e']);
  const skipped = new Set<string>();
  /** Instances that see no keeper. */
  const cutOff = new Set<string>();
  const instances = new Map<string, StreamOrigins>();

  const table: TableStore = {
    ...memory.table,
    async query(...input) {
      calls.query++;
      if (store.isDown) throw new StoreError('down', 'none');
      if (store.isSlow) return new Promise(() => {});
      return memory.table.query(...input);
    },
    async transact(...input) {
      calls.transact++;
      if (store.isDown) throw new StoreError('down', 'none');
      return memory.table.transact(...input);
    },
  };

  function createPeer(address: string) {
    const call = <Answer>(run: (target: StreamOrigins) => Answer) =>
      alive.has(address)
        ? Promise.resolve(run(instances.get(address)!))
        : Promise.reject(new Error('no response'));
    return {
      streams: {
        note: {
          mutate: ({notes}: {notes: []}) =>
            call(({procedures}) => procedures.receiveNotes(notes)),
        },
        find: {
          query: (input: {pool: string; id: string}) =>
            call(({procedures}) => procedures.find(input)),
        },
      },
    };
  }

  function start(name: string): StreamOrigins {
    const origins = createStreamOrigins({
      clock,
      log: createSilentLog(),
      metrics: createMetrics(),
      getSelfAddress: () => name,
      findKeeper: () =>
        cutOff.has(name)
          ? undefined
          : [...alive, ...instances.keys()].find(each => !skipped.has(each)),
      noteSilent: address => void skipped.add(address),
      listSiblings: pool => [POOL, SIBLING].filter(each => each !== pool),
      peers: {get: createPeer as never},
      stored: createStoredOrigins({
        clock,
        time: {read: () => 1_000_000 + clock.now()},
        log: createSilentLog(),
        table,
        writer: name,
      }),
    });
    instances.set(name, origins);
    return origins;
  }

  function stop(name: string) {
    alive.delete(name);
    instances.get(name)?.stop();
  }

  /** Resolves with the outcome of a lookup, with time to end. */
  async function find(name: string, id: string | undefined, pool = POOL) {
    const found = instances.get(name)!.findVersion(pool, id);
    found.catch(() => {});
    await clock.advanceAsync(KEEPER_TIMEOUT_MS + 2 * NOTE_TRANSIT_MS);
    return found;
  }

  for (const name of alive) start(name);
  return {clock, calls, store, cutOff, instances, memory, start, stop, find};
}

function note(
  {instances}: ReturnType<typeof createFleet>,
  name: string,
  id: string,
  version = 'v1',
) {
  instances.get(name)!.note({pool: POOL, id, version});
}

describe('the version at which a stream began', () => {
  it('is known to every instance', async () => {
    const fleet = createFleet();
    note(fleet, 'b', 's1');
    note(fleet, 'c', 's2', 'v2');
    for (const name of ['a', 'b', 'c', 'd', 'e']) {
      assert.equal(await fleet.find(name, 's1'), 'v1');
      assert.equal(await fleet.find(name, 's2'), 'v2');
    }
  });

  // Guards against a caller that returns before the note of its first event arrives.
  it('is known while its note is on its way', async () => {
    const fleet = createFleet();
    const found = fleet.instances.get('d')!.findVersion(POOL, 's1');
    note(fleet, 'b', 's1');
    await fleet.clock.advanceAsync(NOTE_TRANSIT_MS);
    assert.equal(await found, 'v1');
  });

  // Guards against losing it with the instances that knew it.
  it('is known after its instance and its keeper were killed', async () => {
    const fleet = createFleet();
    note(fleet, 'b', 's1');
    await fleet.clock.advanceAsync(2 * WRITE_INTERVAL_MS);
    fleet.stop('a');
    fleet.stop('b');
    assert.equal(await fleet.find('d', 's1'), 'v1');
  });

  // Guards against a keeper that starts with nothing and takes that for the truth.
  it('is known after all instances have started anew', async () => {
    const fleet = createFleet();
    note(fleet, 'b', 's1');
    await fleet.clock.advanceAsync(2 * WRITE_INTERVAL_MS);
    for (const name of ['a', 'b', 'c', 'd', 'e']) fleet.start(name);
    assert.equal(await fleet.find('d', 's1'), 'v1');
  });

  // Guards against a caller whose affinity leads to another pool of the service.
  it('is known in the other pools of its service, but in no other service', async () => {
    const fleet = createFleet();
    note(fleet, 'b', 's1');
    await fleet.clock.advanceAsync(2 * WRITE_INTERVAL_MS);
    for (const name of ['a', 'b', 'c', 'd', 'e']) fleet.start(name);
    assert.equal(await fleet.find('d', 's1', SIBLING), 'v1');
    const other = fleet.find('d', 's1', 'writer/klang/0');
    await assert.rejects(other, UNKNOWN);
  });

  // Guards against a guess where nobody can know.
  it('is refused as unknown if neither the keeper nor the store has it', async () => {
    const fleet = createFleet();
    const unknown = await fleet.find('b', 'never').catch(error => error);
    assert.equal(unknown.code, 'stream_unknown');
    assert.equal(unknown.retryAfterMs, undefined);
    fleet.store.isDown = true;
    const unreadable = await fleet.find('b', 'never').catch(error => error);
    assert.ok(unreadable.retryAfterMs > 0);
    fleet.cutOff.add('c');
    await assert.rejects(fleet.find('c', 'never'), UNKNOWN);
  });

  // Guards against a keeper that answers only after the store's timeout: its callers
  // take it for silent, and with it the dispatcher that it may be.
  it('is refused in time by a keeper whose store does not answer', async () => {
    const fleet = createFleet();
    fleet.store.isSlow = true;
    for (const name of ['a', 'b']) {
      let refused: RouterError | undefined;
      fleet.instances
        .get(name)!
        .findVersion(POOL, 'never')
        .catch((error: RouterError) => (refused = error));
      await fleet.clock.advanceAsync(KEEPER_TIMEOUT_MS - 1);
      assert.equal(refused?.code, 'stream_unknown');
      assert.equal(refused.verdict, 'not-run');
      assert.ok(refused.retryAfterMs! > 0);
    }
    note(fleet, 'b', 's1');
    await fleet.clock.advanceAsync(NOTE_TRANSIT_MS);
    assert.equal(await fleet.find('c', 's1'), 'v1');
  });

  // Guards against losing what was noted while the store was away.
  it('is written once the store is back', async () => {
    const fleet = createFleet();
    fleet.store.isDown = true;
    note(fleet, 'b', 's1');
    await fleet.clock.advanceAsync(20 * WRITE_INTERVAL_MS);
    assert.equal(await fleet.find('c', 's1'), 'v1');
    fleet.store.isDown = false;
    await fleet.clock.advanceAsync(2 * WRITE_INTERVAL_MS);
    fleet.stop('a');
    fleet.stop('b');
    assert.equal(await fleet.find('d', 's1'), 'v1');
  });
});

describe('a stream that its caller does not name', () => {
  it('goes on at the only version at which streams began lately', async () => {
    const fleet = createFleet();
    note(fleet, 'b', 's1');
    await fleet.clock.advanceAsync(2 * WRITE_INTERVAL_MS);
    assert.equal(await fleet.find('c', undefined), 'v1');
    fleet.stop('a');
    assert.equal(await fleet.find('c', undefined), 'v1');
  });

  // Guards against taking the version that serves now for the one that began it.
  it('is refused if streams began at two versions, or none is known', async () => {
    const fleet = createFleet();
    await assert.rejects(fleet.find('c', undefined), UNKNOWN);
    note(fleet, 'b', 's1');
    await fleet.clock.advanceAsync(2 * WRITE_INTERVAL_MS);
    fleet.stop('a');
    note(fleet, 'c', 's2', 'v2');
    await fleet.clock.advanceAsync(2 * WRITE_INTERVAL_MS);
    await assert.rejects(fleet.find('d', undefined), UNKNOWN);
    await fleet.clock.advanceAsync(ROW_RETENTION_MS);
    note(fleet, 'c', 's3', 'v2');
    await fleet.clock.advanceAsync(2 * WRITE_INTERVAL_MS);
    assert.equal(await fleet.find('d', undefined), 'v2');
  });

  // Guards against a keeper that has just taken over and cannot read the rows.
  it('is refused while the store cannot be read', async () => {
    const fleet = createFleet();
    note(fleet, 'b', 's1');
    await fleet.clock.advanceAsync(2 * WRITE_INTERVAL_MS);
    fleet.store.isDown = true;
    await assert.rejects(fleet.find('c', undefined), UNKNOWN);
  });
});

describe('the cost of the origins', () => {
  // Load: 1,000 streams a second in one pool.
  it('is one write in WRITE_INTERVAL_MS, however many streams begin', async () => {
    const fleet = createFleet();
    for (let ms = 0; ms < 5000; ms += 10) {
      for (let each = 0; each < 10; each++) {
        note(fleet, 'b', `${ms}-${each}`);
      }
      await fleet.clock.advanceAsync(10);
    }
    const most = 5000 / WRITE_INTERVAL_MS;
    assert.ok(fleet.calls.transact <= most, `${fleet.calls.transact} writes`);
  });

  // Load: many callers at once take up streams that nobody knows.
  it('is ten reads a second at most while unknown streams are asked for', async () => {
    const fleet = createFleet();
    for (let ms = 0; ms < 2000; ms += 10) {
      const {findVersion} = fleet.instances.get('c')!;
      findVersion(POOL, `never-${ms}`).catch(() => {});
      await fleet.clock.advanceAsync(10);
    }
    // Two pools, each read at most every READ_INTERVAL_MS.
    assert.ok(fleet.calls.query <= 2 * 21, `${fleet.calls.query} reads`);
  });

  // Guards against rows that stay for ever, also those of keepers that are gone.
  it('leaves no rows behind past their retention', async () => {
    const fleet = createFleet();
    note(fleet, 'b', 's1');
    await fleet.clock.advanceAsync(2 * WRITE_INTERVAL_MS);
    fleet.stop('a');
    await fleet.find('c', 's1');
    note(fleet, 'c', 's2');
    await fleet.clock.advanceAsync(ROW_RETENTION_MS + CLEANUP_INTERVAL_MS);
    await fleet.instances.get('b')!.runMaintenance();
    const rows = await fleet.memory.table.query(`streams/${POOL}`);
    assert.deepEqual(rows, []);
  });
});
