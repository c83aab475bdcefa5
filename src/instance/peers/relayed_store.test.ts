/** The store through a peer, with faults on both ways. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSharedTime} from '../../common/shared_time.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import type {StoreError} from '../../stores/table_store.js';
import {PeerCallError} from './call_bounds.js';
import {
  buildStoreRouter,
  createRelayedStore,
  type CallRelay,
} from './relayed_store.js';

const KEY = {partition: 'things/1', sort: 'a'};
const PUT = {
  kind: 'put',
  key: KEY,
  fields: {value: 1},
  condition: {kind: 'absent'},
} as const;

/** A store of its own, and the time as the store tells it. */
function createOwnStore(time = createSharedTime(createVirtualClock())) {
  return {...createMemoryPlatform(), time};
}

const OUT = createOwnStore();
OUT.faults.down = true;

/** An instance without the store beside a peer that has it. */
function createPair(bring?: (call: ReturnType<CallRelay>) => typeof call) {
  const memory = createOwnStore();
  const caller = buildStoreRouter(memory).createCaller({
    peerName: 'entry-2',
    peerIncarnation: 'run',
  });
  const relay: CallRelay = call => {
    const answer = caller.run(call);
    return bring ? bring(answer) : answer;
  };
  return {memory, store: createRelayedStore(OUT, relay)};
}

describe('the store through a peer', () => {
  it('reads and writes rows and objects', async () => {
    const {store, memory} = createPair();
    assert.equal((await store.table.transact([PUT])).kind, 'committed');
    assert.equal((await store.table.get(KEY))?.fields.value, 1);
    assert.equal((await store.table.query('things/1')).length, 1);
    assert.equal((await store.table.transact([PUT])).kind, 'conflict');
    const bytes = Buffer.from([0, 255, 128]);
    await store.objects.put('one', bytes);
    assert.deepEqual(await store.objects.get('one'), bytes);
    assert.equal(await store.objects.get('none'), undefined);
    assert.deepEqual(await store.objects.list('o'), ['one']);
    await store.objects.delete('one');
    assert.equal(await memory.objects.get('one'), undefined);
  });

  // An instance that starts while the store turns it away hears the store's time
  // from nobody else; without it, it could accept no bundle.
  it('brings the time of the store', async () => {
    const {store, memory} = createPair();
    memory.time.note(90_000);
    await store.table.get(KEY);
    assert.equal(OUT.time.read(), 90_000);
  });

  it('asks the store itself while no peer is needed', async () => {
    const own = createOwnStore();
    const store = createRelayedStore(own, () => undefined);
    await store.table.transact([PUT]);
    assert.equal((await own.table.get(KEY))?.fields.value, 1);
  });

  it('passes on whether a failed write may have taken effect', async () => {
    const {store, memory} = createPair();
    memory.faults.down = true;
    await assert.rejects(store.table.transact([PUT]), {effect: 'none'});
    memory.faults.down = false;
    memory.faults.answersToLose = 1;
    await assert.rejects(store.table.transact([PUT]), {effect: 'unknown'});
  });

  describe('when the answer of the peer is lost', () => {
    // The caller would be told that its bundle is not kept although the peer
    // has written it. A call that was sent and not answered is unclear; one
    // that never left this instance had no effect, and a read never has one.
    function bringLoss(sent: boolean) {
      return createPair(async answer => {
        if (sent) await answer;
        throw Object.assign(new Error('no answer'), {
          cause: new PeerCallError('no answer', sent),
        });
      });
    }

    it('counts a write that was sent as unclear', async () => {
      const {store, memory} = bringLoss(true);
      await assert.rejects(store.table.transact([PUT]), {effect: 'unknown'});
      assert.equal((await memory.table.get(KEY))?.fields.value, 1);
    });

    it('counts what was not sent, and reads, as without effect', async () => {
      const {store} = bringLoss(false);
      await assert.rejects(store.table.transact([PUT]), {effect: 'none'});
      const read = bringLoss(true).store.table.get(KEY);
      await assert.rejects(
        read,
        (error: StoreError) => error.effect === 'none',
      );
    });
  });
});
