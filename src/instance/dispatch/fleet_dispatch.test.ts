import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {makeEndpoint} from '../../testing/fixtures.js';
import {
  ACQUIRE_GRACE_MS,
  ACQUIRE_TURN_MS,
  DISPATCHER_COOLDOWN_MS,
  GATHER_TIMEOUT_MS,
  MAX_SILENT_DISPATCHERS,
  RELEASE_INTERVAL_MS,
  REPORT_GUARD_MS,
  UNREPORTED_SLOT_MS,
} from './constants.js';
import type {Slot} from './dispatch.js';
import {createFakeFleet, makeSlotRequest} from './fake_fleet.js';

const ENTRIES = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];
const ENDPOINTS = [makeEndpoint('127.0.0.1:101')];
const SILENCE_MS = ACQUIRE_TURN_MS + ACQUIRE_GRACE_MS;
const ANSWERED = {kind: 'answered', tokens: 1} as const;

type Fleet = ReturnType<typeof createFakeFleet>;

/** Slots granted at once among `count` requests spread over the fleet. */
async function acquireMany(fleet: Fleet, count: number): Promise<Slot[]> {
  const dispatches = [...fleet.instances.values()];
  const granted: Slot[] = [];
  for (let index = 0; index < count; index++) {
    void dispatches[index % dispatches.length]
      .acquireSlot(makeSlotRequest(`req-${index}`))
      .then(slot => granted.push(slot))
      .catch(() => {});
  }
  await fleet.clock.advanceAsync(1);
  return granted;
}

describe('fleet dispatch', () => {
  it('keeps an endpoint within its limit over all instances', async () => {
    const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
    const granted = await acquireMany(fleet, 9);
    assert.equal(granted.length, 4);
    granted[0].release(ANSWERED);
    await fleet.clock.advanceAsync(1000);
    assert.equal(granted.length, 5);
  });

  describe('with a silent dispatcher', () => {
    it('asks the next one, which keeps the endpoint within its limit', async () => {
      // Callers would wait for ever. The dispatcher accepts connections and
      // answers nothing; each instance notices after one turn and asks the next
      // one, so that the two that are left cannot fill the endpoint past its
      // limit, and use all of it.
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS, {hasGather: true});
      fleet.network.silent.add(fleet.owner[0]);
      const granted: Slot[] = [];
      for (const [address, dispatch] of fleet.others) {
        for (const number of [1, 2, 3]) {
          void dispatch
            .acquireSlot(makeSlotRequest(`${address}-${number}`))
            .then(slot => granted.push(slot));
        }
      }
      await fleet.clock.advanceAsync(SILENCE_MS - 1);
      assert.equal(granted.length, 0);
      await fleet.clock.advanceAsync(GATHER_TIMEOUT_MS + 10);
      assert.equal(granted.length, 4);
      granted[0].release(ANSWERED);
      await fleet.clock.advanceAsync(RELEASE_INTERVAL_MS + 10);
      assert.equal(granted.length, 5);
    });

    it('is asked again by one request at a time', async () => {
      // A dispatcher that is out for seconds: were every request to find out
      // for itself whether it is back, all of them would wait for a silence,
      // again and again.
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS, {hasGather: true});
      fleet.network.silent.add(fleet.owner[0]);
      const [[, holder]] = fleet.others;
      const first = holder.acquireSlot(makeSlotRequest('first'));
      await fleet.clock.advanceAsync(SILENCE_MS + GATHER_TIMEOUT_MS + 10);
      (await first).release(ANSWERED);
      await fleet.clock.advanceAsync(DISPATCHER_COOLDOWN_MS);
      const granted: string[] = [];
      for (const id of ['probe', 'second', 'third']) {
        void holder.acquireSlot(makeSlotRequest(id)).then(slot => {
          granted.push(id);
          slot.release(ANSWERED);
        });
      }
      await fleet.clock.advanceAsync(10);
      assert.deepEqual(granted, ['second', 'third']);
      await fleet.clock.advanceAsync(SILENCE_MS + 10);
      assert.deepEqual(granted, ['second', 'third', 'probe']);
    });
  });

  describe('that hears none of several dispatchers', () => {
    const MANY = [1, 2, 3, 4].map(port => `127.0.0.1:${port}`);

    /** All other instances are silent to the one that ranks last. */
    async function startCutOff() {
      for (const self of MANY) {
        const fleet = createFakeFleet(MANY, ENDPOINTS);
        for (const each of MANY) {
          if (each !== self) fleet.network.silent.add(each);
        }
        const dispatch = fleet.instances.get(self)!;
        const lost = dispatch.acquireSlot(makeSlotRequest('lost'));
        const silences = MAX_SILENT_DISPATCHERS + 1;
        await fleet.clock.advanceAsync(silences * SILENCE_MS + 1);
        if (dispatch.pools.list().length > 0) continue;
        (await lost).release(ANSWERED);
        return {fleet, dispatch};
      }
      throw new Error('no instance ranks behind the others');
    }

    it('decides alone within its share', async () => {
      // An instance that is cut off from all others ranks first among those it
      // still hears, itself. As dispatcher it would fill the endpoint that the
      // others fill as well; a quarter of its four slots is one.
      const {fleet, dispatch} = await startCutOff();
      const granted: Slot[] = [];
      for (const number of [1, 2, 3]) {
        void dispatch
          .acquireSlot(makeSlotRequest(`alone-${number}`))
          .then(slot => granted.push(slot))
          .catch(() => {});
      }
      await fleet.clock.advanceAsync(10);
      assert.equal(granted.length, 1);
    });

    it('gives batch no slot and says when to come back', async () => {
      const {fleet, dispatch} = await startCutOff();
      const asked = dispatch.acquireSlot(makeSlotRequest('item-1', 'batch'));
      const refused = assert.rejects(asked, {
        code: 'overloaded',
        verdict: 'not-run',
        retryAfterMs: 1000,
      });
      await fleet.clock.advanceAsync(1);
      await refused;
    });
  });

  describe('when the answer with a grant is lost', () => {
    it('frees the slot that nobody holds', async () => {
      // Callers would see an endpoint fill up with requests that do not run.
      // The dispatcher grants, its answer is lost, and the release that the
      // holder sends then is lost as well; the holder's reports never name
      // the slot, so the dispatcher frees it.
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
      const [owner, dispatcher] = fleet.owner;
      const [[, holder]] = fleet.others;
      fleet.network.losesAnswers.add(owner);
      const asked = holder.acquireSlot(makeSlotRequest('item-1', 'batch'));
      await fleet.clock.advanceAsync(10);
      fleet.network.silent.add(owner);
      await fleet.clock.advanceAsync(SILENCE_MS + GATHER_TIMEOUT_MS + 100);
      (await asked).release(ANSWERED);
      fleet.network.silent.clear();
      fleet.network.losesAnswers.clear();
      const [{dispatcher: pool}] = dispatcher.pools.list();
      assert.deepEqual(pool.count(), {waiting: 0, held: 1});
      for (let waited = 0; waited <= UNREPORTED_SLOT_MS; waited += 1000) {
        holder.report();
        await fleet.clock.advanceAsync(1000);
        dispatcher.refresh();
      }
      assert.deepEqual(pool.count(), {waiting: 0, held: 0});
    });
  });

  describe('when the end of a request is not heard', () => {
    // The dispatcher is thought to be gone for a moment, and the ends of
    // requests are told to another one. Back in its place it counts their slots
    // as taken: callers wait while half of the endpoints are idle, for as long
    // as slots take to expire.
    it('frees the slots with the next report of their holder', async () => {
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
      const [owner, dispatcher] = fleet.owner;
      const [[, holder]] = fleet.others;
      const held: Slot[] = [];
      for (const id of ['a', 'b', 'c', 'd']) {
        void holder
          .acquireSlot(makeSlotRequest(id))
          .then(slot => held.push(slot));
      }
      await fleet.clock.advanceAsync(REPORT_GUARD_MS + 1);
      assert.equal(held.length, 4);
      holder.report();
      fleet.network.silent.add(owner);
      for (const slot of held) slot.release(ANSWERED);
      await fleet.clock.advanceAsync(REPORT_GUARD_MS + 1);
      fleet.network.silent.clear();
      const [{dispatcher: pool}] = dispatcher.pools.list();
      assert.equal(pool.count().held, 4);
      holder.report();
      await fleet.clock.advanceAsync(1);
      assert.equal(pool.count().held, 0);
    });

    // A dispatcher that lost the store stands down while a holder only waits for
    // the end of its answer. The holder does not know, and tells the end to it
    // alone; the next dispatcher, which had asked what runs, waits for it.
    it('is heard by the next dispatcher when one stands down', async () => {
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS, {hasGather: true});
      const [[, holder], [, witness]] = fleet.others;
      const held: Slot[] = [];
      void holder
        .acquireSlot(makeSlotRequest('a'))
        .then(slot => held.push(slot));
      await fleet.clock.advanceAsync(1);
      holder.report();
      fleet.owner[1].pools.standDown();
      fleet.owner[1].stop();
      void witness.acquireSlot(makeSlotRequest('b'));
      await fleet.clock.advanceAsync(1);
      held[0].release(ANSWERED);
      await fleet.clock.advanceAsync(RELEASE_INTERVAL_MS + 1);
      const pools = [holder, witness].flatMap(each => each.pools.list());
      const counts = pools.map(({dispatcher}) => dispatcher.count().held);
      assert.deepEqual(counts, [1], 'only b is held');
    });

    it('tells a new dispatcher what is held, and nothing else', async () => {
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
      const [owner] = fleet.owner;
      const [[, holder], [, witness]] = fleet.others;
      void holder.acquireSlot(makeSlotRequest('a'));
      await fleet.clock.advanceAsync(1);
      holder.report();
      fleet.live.delete(owner);
      for (const dispatch of [holder, witness]) dispatch.refresh();
      await fleet.clock.advanceAsync(1);
      const pools = [holder, witness].flatMap(each => each.pools.list());
      const counts = pools.map(({dispatcher}) => dispatcher.count().held);
      assert.deepEqual(counts, [1]);
    });
  });

  describe('when the dispatcher is lost', () => {
    it('counts what already runs, from reports', async () => {
      // A burst would overfill the endpoint. Four requests run when their
      // dispatcher dies; the next one knows none of them until their holders
      // report, and then grants nothing until one ends.
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
      const [owner] = fleet.owner;
      const [[, holder], [, witness]] = fleet.others;
      const held: Slot[] = [];
      for (const id of ['a', 'b', 'c', 'd']) {
        void holder
          .acquireSlot(makeSlotRequest(id))
          .then(slot => held.push(slot));
      }
      await fleet.clock.advanceAsync(1);
      assert.equal(held.length, 4);
      fleet.live.delete(owner);
      fleet.network.silent.add(owner);
      for (const dispatch of [holder, witness]) dispatch.report();
      await fleet.clock.advanceAsync(1);
      const more: Slot[] = [];
      void witness
        .acquireSlot(makeSlotRequest('e'))
        .then(slot => more.push(slot));
      await fleet.clock.advanceAsync(5000);
      assert.equal(more.length, 0);
      held[0].release(ANSWERED);
      await fleet.clock.advanceAsync(5000);
      assert.equal(more.length, 1);
    });
  });

  it('sends waiting requests to the next dispatcher at shutdown', async () => {
    const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
    const granted = await acquireMany(fleet, 6);
    assert.equal(granted.length, 4);
    fleet.owner[1].stop();
    await fleet.clock.advanceAsync(10);
    assert.equal(granted.length, 6);
  });

  it('makes batch work of another instance give way to a burst', async () => {
    // Online callers would wait behind batch items in the engine. Batch fills
    // the endpoint through one instance, a burst comes through another; the
    // dispatcher tells the first, whose slots are aborted and given back.
    const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
    const [[, worker], [, caller]] = fleet.others;
    const items: Slot[] = [];
    for (const id of ['a', 'b', 'c', 'd']) {
      void worker
        .acquireSlot(makeSlotRequest(id, 'batch'))
        .then(slot => items.push(slot))
        .catch(() => {});
    }
    await fleet.clock.advanceAsync(20_000);
    assert.ok(items.length > 0, 'batch fills what is idle');
    for (const slot of items) {
      slot.yieldSignal.addEventListener('abort', () =>
        slot.release({kind: 'yielded', tokens: 0}),
      );
    }
    const answers = ['x', 'y', 'z', 'w'].map(id =>
      caller.acquireSlot(makeSlotRequest(id)),
    );
    await fleet.clock.advanceAsync(100);
    await Promise.all(answers);
    assert.ok(items.some(slot => slot.yieldSignal.aborted));
  });

  it('drops the request of a caller that is gone', async () => {
    const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
    await acquireMany(fleet, 4);
    const gone = new AbortController();
    const asked = fleet.owner[1].acquireSlot(
      makeSlotRequest('late', 'online', {signal: gone.signal}),
    );
    gone.abort();
    await assert.rejects(asked, {code: 'cancelled', verdict: 'not-run'});
    const [{dispatcher: pool}] = fleet.owner[1].pools.list();
    assert.deepEqual(pool.count(), {waiting: 0, held: 4});
  });
});
