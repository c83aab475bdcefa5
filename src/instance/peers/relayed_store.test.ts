/** Access to the store through a peer, with faults on both paths. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSharedTime} from '../../common/shared_time.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import type {StoreError} from '../../stores/table_store.js';
import {PeerCallError} from './peer_call.js';
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

/** Creates a store with its own shared time. */
function createDirectStore(time = createSharedTime(createVirtualClock())) {
  return {...createMemoryPlatform(), time};
}

const UNAVAILABLE_STORE = createDirectStore();
UNAVAILABLE_STORE.faults.down = true;

/** Creates an instance without store access, and a peer that has it. */
function createPair(
  injectFault?: (call: ReturnType<CallRelay>) => typeof call,
) {
  const memory = createDirectStore();
  const caller = buildStoreRouter(memory).createCaller({
    peerName: 'entry-2',
    peerIncarnation: 'run',
  });
  const relay: CallRelay = call => {
    const answer = caller.run(call);
    return injectFault ? injectFault(answer) : answer;
  };
  return {memory, store: createRelayedStore(UNAVAILABLE_STORE, relay)};
}

describe('relayed store', () => {
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

  // Guards against an instance that can accept no bundles: if the store refuses
  // it from its start, it can learn the store's time only from a peer.
  it('receives the time of the store', async () => {
    const {store, memory} = createPair();
    memory.time.note(90_000);
    await store.table.get(KEY);
    assert.equal(UNAVAILABLE_STORE.time.read(), 90_000);
  });

  it('calls the store itself while no peer is needed', async () => {
    const direct = createDirectStore();
    const store = createRelayedStore(direct, () => undefined);
    await store.table.transact([PUT]);
    assert.equal((await direct.table.get(KEY))?.fields.value, 1);
  });

  it('reports whether a failed write may have taken effect', async () => {
    const {store, memory} = createPair();
    memory.faults.down = true;
    await assert.rejects(store.table.transact([PUT]), {effect: 'none'});
    memory.faults.down = false;
    memory.faults.answersToLose = 1;
    await assert.rejects(store.table.transact([PUT]), {effect: 'unknown'});
  });

  describe('when the response of the peer is lost', () => {
    // Guards against telling a caller that its bundle was not stored although
    // the peer has written it. The outcome of a call that was sent and got no
    // response is unknown. A call that never left this instance had no effect,
    // and a read never has one.
    function createLossyPair(sent: boolean) {
      return createPair(async answer => {
        if (sent) await answer;
        throw new PeerCallError('no answer', sent);
      });
    }

    it('reports the outcome of a sent write as unknown', async () => {
      const {store, memory} = createLossyPair(true);
      await assert.rejects(store.table.transact([PUT]), {effect: 'unknown'});
      assert.equal((await memory.table.get(KEY))?.fields.value, 1);
    });

    it('reports unsent calls and reads as having no effect', async () => {
      const {store} = createLossyPair(false);
      await assert.rejects(store.table.transact([PUT]), {effect: 'none'});
      const read = createLossyPair(true).store.table.get(KEY);
      await assert.rejects(
        read,
        (error: StoreError) => error.effect === 'none',
      );
    });
  });
});
