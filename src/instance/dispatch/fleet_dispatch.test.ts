import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {RouterError} from '../../common/errors.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {makeEndpoint} from '../../testing/fixtures.js';
import {
  ACQUIRE_GRACE_MS,
  ACQUIRE_POLL_MS,
  DISPATCHER_COOLDOWN_MS,
  GATHER_TIMEOUT_MS,
  MAX_SILENT_DISPATCHERS,
  MAX_REPEATED_ROUNDS,
  RELEASE_INTERVAL_MS,
  REPORT_GUARD_MS,
  UNREPORTED_SLOT_MS,
} from './constants.js';
import type {Slot} from './dispatch.js';
import {createFakeFleet, makeSlotRequest} from './fake_fleet.js';
import type {FleetDispatch} from './fleet_dispatch.js';

const ENTRIES = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];
const ENDPOINTS = [makeEndpoint('127.0.0.1:101')];
const DISPATCHER_TIMEOUT_MS = ACQUIRE_POLL_MS + ACQUIRE_GRACE_MS;
const ANSWERED = {kind: 'answered', tokens: 1} as const;

type Fleet = ReturnType<typeof createFakeFleet>;

/** Returns the slots granted at once to `count` requests over all instances. */
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

/** Returns a slot that is granted at once. */
async function acquireNow(
  {clock}: Fleet,
  dispatch: FleetDispatch,
): Promise<Slot> {
  const pending = dispatch.acquireSlot(makeSlotRequest('now'));
  await clock.advanceAsync(1);
  return pending;
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
    it('uses the next dispatcher and keeps the endpoint within its limit', async () => {
      // The dispatcher accepts connections but never responds, so callers would
      // wait for ever. Each instance notices after one timeout and asks the
      // next dispatcher, so that the 2 remaining instances use the whole
      // endpoint and do not exceed its limit.
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
      await fleet.clock.advanceAsync(DISPATCHER_TIMEOUT_MS - 1);
      assert.equal(granted.length, 0);
      await fleet.clock.advanceAsync(GATHER_TIMEOUT_MS + 10);
      assert.equal(granted.length, 4);
      granted[0].release(ANSWERED);
      await fleet.clock.advanceAsync(RELEASE_INTERVAL_MS + 10);
      assert.equal(granted.length, 5);
    });

    it('probes the silent dispatcher with one request at a time', async () => {
      // If every request checked by itself whether a dispatcher that is down
      // for seconds has recovered, all of them would run into the timeout, over
      // and over again.
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS, {hasGather: true});
      fleet.network.silent.add(fleet.owner[0]);
      const [[, holder]] = fleet.others;
      const first = holder.acquireSlot(makeSlotRequest('first'));
      await fleet.clock.advanceAsync(
        DISPATCHER_TIMEOUT_MS + GATHER_TIMEOUT_MS + 10,
      );
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
      await fleet.clock.advanceAsync(DISPATCHER_TIMEOUT_MS + 10);
      assert.deepEqual(granted, ['second', 'third', 'probe']);
    });
  });

  describe('when all other dispatchers are silent', () => {
    const MANY = [1, 2, 3, 4].map(port => `127.0.0.1:${port}`);

    /** Starts a fleet in which the instance that ranks last is cut off. */
    async function startCutOff() {
      for (const self of MANY) {
        const fleet = createFakeFleet(MANY, ENDPOINTS);
        for (const each of MANY) {
          if (each !== self) fleet.network.silent.add(each);
        }
        const dispatch = fleet.instances.get(self)!;
        const lost = dispatch.acquireSlot(makeSlotRequest('lost'));
        const silences = MAX_SILENT_DISPATCHERS + 1;
        await fleet.clock.advanceAsync(silences * DISPATCHER_TIMEOUT_MS + 1);
        if (dispatch.pools.list().length > 0) continue;
        (await lost).release(ANSWERED);
        return {fleet, dispatch};
      }
      throw new Error('no instance used fallback dispatch');
    }

    it('grants only its own share of the endpoint', async () => {
      // An instance that is cut off from all others would rank itself first. As
      // dispatcher it would fill the endpoint that the others fill as well. Its
      // share is a quarter of 4 slots, that is 1.
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

    // Guards against requests that wait for the own share until their deadline although
    // the dispatchers answer again and have free slots.
    it('sends its waiting requests to a dispatcher that answers again', async () => {
      const {fleet, dispatch} = await startCutOff();
      const granted: string[] = [];
      for (const id of ['alone-1', 'alone-2', 'alone-3']) {
        void dispatch
          .acquireSlot(makeSlotRequest(id))
          .then(() => granted.push(id));
      }
      await fleet.clock.advanceAsync(DISPATCHER_COOLDOWN_MS);
      dispatch.refresh();
      await fleet.clock.advanceAsync(10);
      assert.deepEqual(granted, ['alone-1'], 'they stay while none answers');
      fleet.network.silent.clear();
      (await acquireNow(fleet, dispatch)).release(ANSWERED);
      dispatch.refresh();
      await fleet.clock.advanceAsync(10);
      assert.deepEqual(granted, ['alone-1', 'alone-2', 'alone-3']);
    });

    it('refuses a slot to a batch item and says when to retry', async () => {
      const {fleet, dispatch} = await startCutOff();
      const pending = dispatch.acquireSlot(makeSlotRequest('item-1', 'batch'));
      const refused = assert.rejects(pending, {
        code: 'overloaded',
        verdict: 'not-run',
        retryAfterMs: 1000,
      });
      await fleet.clock.advanceAsync(1);
      await refused;
    });
  });

  describe('when the dispatcher still lists endpoints that have left', () => {
    // Guards against asking again before the release of the useless slot has arrived: the
    // dispatcher repeated its grant until the request had no rounds left.
    it('is given another endpoint by each further request for a slot', async () => {
      const endpoints = [101, 102, 103, 104].map(port =>
        makeEndpoint(`127.0.0.1:${port}`),
      );
      const fleet = createFakeFleet(ENTRIES, endpoints);
      const [[address, holder]] = fleet.others;
      const gone = endpoints.slice(0, 3).map(each => each.address);
      fleet.network.unlisted.set(address, gone);
      const pending = holder.acquireSlot(makeSlotRequest('request'));
      await fleet.clock.advanceAsync(5);
      assert.equal((await pending).endpoint.address, endpoints[3].address);
    });

    // Guards against a refusal while an endpoint is free, when a release or an evacuation
    // takes away more endpoints at once than a request has rounds.
    it('is given the only endpoint that is left', async () => {
      const endpoints = Array.from(
        {length: 4 * MAX_REPEATED_ROUNDS},
        (_, index) => makeEndpoint(`127.0.0.1:${101 + index}`),
      );
      const fleet = createFakeFleet(ENTRIES, endpoints);
      const [[address, holder]] = fleet.others;
      const left = endpoints.at(-1)!.address;
      fleet.network.unlisted.set(
        address,
        endpoints.slice(0, -1).map(each => each.address),
      );
      const pending = holder.acquireSlot(makeSlotRequest('request'));
      await fleet.clock.advanceAsync(5);
      assert.equal((await pending).endpoint.address, left);
    });

    it('is refused at once if none is left', async () => {
      const endpoints = [101, 102, 103].map(port =>
        makeEndpoint(`127.0.0.1:${port}`),
      );
      const fleet = createFakeFleet(ENTRIES, endpoints);
      const [[address, holder]] = fleet.others;
      const pending = holder.acquireSlot(makeSlotRequest('request'));
      fleet.network.unlisted.set(
        address,
        endpoints.map(each => each.address),
      );
      holder.refresh();
      const refused = assert.rejects(pending, {
        code: 'no_endpoint',
        verdict: 'not-run',
      });
      await fleet.clock.advanceAsync(5);
      await refused;
    });
  });

  describe('when the response with a grant is lost', () => {
    it('frees the slot that nobody holds', async () => {
      // Otherwise an endpoint would fill up with requests that do not run. The
      // response with the grant is lost, and so is the release that the holder
      // then sends. The holder's reports never contain the slot, so the
      // dispatcher frees it.
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
      const [owner, dispatcher] = fleet.owner;
      const [[, holder]] = fleet.others;
      fleet.network.losesAnswers.add(owner);
      const pending = holder.acquireSlot(makeSlotRequest('item-1', 'batch'));
      await fleet.clock.advanceAsync(10);
      fleet.network.silent.add(owner);
      await fleet.clock.advanceAsync(
        DISPATCHER_TIMEOUT_MS + GATHER_TIMEOUT_MS + 100,
      );
      (await pending).release(ANSWERED);
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

  describe('when the dispatcher misses the end of a request', () => {
    // The dispatcher is suspected for a moment, and the ends of requests are
    // reported to another one. When it dispatches again, it counts their slots
    // as taken: callers wait while half of the endpoints are idle, until the
    // slots expire.
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

    // A dispatcher without store access stands down while a holder's request is
    // still running. A holder that is not notified releases its slot only at
    // the old dispatcher, and the next one, which gathered the slot, counts it
    // as taken.
    it('releases the slot at the next dispatcher when one stands down', async () => {
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS, {hasGather: true});
      const [[, holder], [, other]] = fleet.others;
      const held: Slot[] = [];
      void holder
        .acquireSlot(makeSlotRequest('a'))
        .then(slot => held.push(slot));
      await fleet.clock.advanceAsync(1);
      holder.report();
      fleet.owner[1].pools.standDown();
      fleet.owner[1].stop();
      void other.acquireSlot(makeSlotRequest('b'));
      await fleet.clock.advanceAsync(1);
      held[0].release(ANSWERED);
      await fleet.clock.advanceAsync(RELEASE_INTERVAL_MS + 1);
      const pools = [holder, other].flatMap(each => each.pools.list());
      const counts = pools.map(({dispatcher}) => dispatcher.count().held);
      assert.deepEqual(counts, [1], 'only b is held');
    });

    // Guards against requests that wait for seconds while slots are free, when an instance
    // dispatches for a pool again after it has stood down or as the only one that is left.
    it('releases the slot of its earlier pool when the same one dispatches again', async () => {
      const fleet = createFakeFleet(ENTRIES.slice(0, 1), ENDPOINTS, {
        hasGather: true,
      });
      const held = await acquireMany(fleet, 4);
      const [, dispatcher] = fleet.owner;
      const waiting = dispatcher.acquireSlot(makeSlotRequest('e'));
      await fleet.clock.advanceAsync(1);
      dispatcher.stop();
      await fleet.clock.advanceAsync(1);
      held[0].release(ANSWERED);
      const [{dispatcher: pool}] = dispatcher.pools.list();
      await fleet.clock.advanceAsync(1);
      assert.deepEqual(pool.count(), {waiting: 0, held: 4});
      assert.equal((await waiting).endpoint.address, ENDPOINTS[0].address);
    });

    it('reports to a new dispatcher only the slots that are held', async () => {
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
      const [owner] = fleet.owner;
      const [[, holder], [, other]] = fleet.others;
      void holder.acquireSlot(makeSlotRequest('a'));
      await fleet.clock.advanceAsync(1);
      holder.report();
      fleet.live.delete(owner);
      for (const dispatch of [holder, other]) dispatch.refresh();
      await fleet.clock.advanceAsync(1);
      const pools = [holder, other].flatMap(each => each.pools.list());
      const counts = pools.map(({dispatcher}) => dispatcher.count().held);
      assert.deepEqual(counts, [1]);
    });
  });

  describe('when the dispatcher is lost', () => {
    it('counts running requests from the reports of their holders', async () => {
      // Otherwise a burst would exceed the endpoint's limit. 4 requests run
      // when their dispatcher fails; the next one learns of them only from
      // reports, and then grants nothing until one of them ends.
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
      const [owner] = fleet.owner;
      const [[, holder], [, other]] = fleet.others;
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
      for (const dispatch of [holder, other]) dispatch.report();
      await fleet.clock.advanceAsync(1);
      const more: Slot[] = [];
      void other
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

  describe('when the dispatcher does not see a holder as live', () => {
    /** Starts a fleet whose first holder fills the endpoint and has one more request. */
    async function startUnseen() {
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS, {hasGather: true});
      const [[address, holder], [, other]] = fleet.others;
      const held: Slot[] = [];
      for (const id of ['a', 'b', 'c', 'd']) {
        void holder
          .acquireSlot(makeSlotRequest(id))
          .then(slot => held.push(slot));
      }
      await fleet.clock.advanceAsync(1);
      const waiting = holder.acquireSlot(makeSlotRequest('e'));
      waiting.catch(() => {});
      await fleet.clock.advanceAsync(1);
      fleet.live.delete(address);
      return {fleet, address, holder, other, held, waiting};
    }

    // Guards against the refusal of every request that waits at an instance which was
    // told to stop: it completes its requests, but is not live for the dispatcher.
    it('keeps its waiting request as long as it asks', async () => {
      const {fleet, held, waiting} = await startUnseen();
      await fleet.clock.advanceAsync(1000);
      fleet.owner[1].refresh();
      await fleet.clock.advanceAsync(1000);
      fleet.owner[1].refresh();
      held[0].release(ANSWERED);
      await fleet.clock.advanceAsync(ACQUIRE_POLL_MS);
      assert.equal((await waiting).endpoint.address, ENDPOINTS[0].address);
    });

    // Guards against slots that are granted twice while an instance that was told to stop
    // completes its requests.
    it('counts its slots as long as it reports them', async () => {
      const {fleet, holder, other, waiting} = await startUnseen();
      const more = other.acquireSlot(makeSlotRequest('f'));
      let isGranted = false;
      void more.then(() => (isGranted = true));
      void waiting.then(() => (isGranted = true));
      for (let second = 0; second < 6; second++) {
        if (second % 2 === 0) holder.report();
        await fleet.clock.advanceAsync(1000);
        fleet.owner[1].refresh();
      }
      assert.equal(isGranted, false);
    });

    it('drops its requests and slots once it is silent', async () => {
      const {fleet, address, other} = await startUnseen();
      const more = other.acquireSlot(makeSlotRequest('f'));
      fleet.network.silent.add(address);
      for (let second = 0; second < 4; second++) {
        await fleet.clock.advanceAsync(1000);
        fleet.owner[1].refresh();
      }
      assert.equal((await more).endpoint.address, ENDPOINTS[0].address);
    });
  });

  // Guards against refusals and forgotten requests in a rolling restart.
  it('keeps requests waiting while dispatchers stop one after the other', async () => {
    for (const gapMs of [0, 1, 500]) {
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS, {hasGather: true});
      const held = await acquireMany(fleet, 4);
      const granted: string[] = [];
      const refused: unknown[] = [];
      for (const [address, dispatch] of fleet.instances) {
        void dispatch
          .acquireSlot(makeSlotRequest(`wait-${address}`))
          .then(() => granted.push(address))
          .catch((error: unknown) => refused.push(error));
      }
      await fleet.clock.advanceAsync(10);
      fleet.owner[1].stop();
      await fleet.clock.advanceAsync(gapMs);
      const next = fleet.others.find(([, {pools}]) => pools.list().length > 0);
      (next ?? fleet.others[0])[1].stop();
      await fleet.clock.advanceAsync(10);
      assert.deepEqual([granted, refused], [[], []]);
      for (const slot of held.slice(0, 3)) slot.release(ANSWERED);
      await fleet.clock.advanceAsync(RELEASE_INTERVAL_MS + ACQUIRE_POLL_MS);
      assert.equal(granted.length, 3, `${gapMs} ms apart`);
      assert.deepEqual(refused, []);
    }
  });

  describe('when all endpoints of a pool leave', () => {
    /** Starts a request at each instance that waits for the only endpoint of its region. */
    async function startWaiting(others: readonly ListedInstance[]) {
      const endpoints = [...ENDPOINTS, ...others];
      const fleet = createFakeFleet(ENTRIES, endpoints);
      await acquireMany(fleet, 4);
      const granted: string[] = [];
      const refused: string[] = [];
      for (const [address, dispatch] of fleet.instances) {
        void dispatch
          .acquireSlot(makeSlotRequest(`wait-${address}`))
          .then(slot => granted.push(slot.endpoint.address))
          .catch((error: RouterError) => refused.push(error.code));
      }
      await fleet.clock.advanceAsync(10);
      assert.deepEqual([granted, refused], [[], []]);
      endpoints.splice(0, 1);
      for (const dispatch of fleet.instances.values()) dispatch.refresh();
      await fleet.clock.advanceAsync(1);
      return {fleet, endpoints, granted, refused};
    }

    // Guards against requests that wait until their deadline at a pool that is no more,
    // while endpoints of another one are free.
    it('its requests get a slot of another pool', async () => {
      const far = {...makeEndpoint('127.0.0.1:102'), region: 'brook'};
      const {granted, refused} = await startWaiting([far]);
      assert.deepEqual(granted, [far.address, far.address, far.address]);
      assert.deepEqual(refused, []);
    });

    it('its requests wait for the next endpoint if there is no other pool', async () => {
      const {fleet, endpoints, granted, refused} = await startWaiting([]);
      assert.deepEqual([granted, refused], [[], []]);
      endpoints.push(makeEndpoint('127.0.0.1:103'));
      for (const dispatch of fleet.instances.values()) dispatch.refresh();
      await fleet.clock.advanceAsync(1);
      assert.equal(granted.length, 3);
    });
  });

  // Guards against a refusal while endpoints are free, when a request is sent on by more
  // dispatchers than it has rounds.
  it('finds the only dispatcher that has not stopped', async () => {
    const many = Array.from(
      {length: MAX_REPEATED_ROUNDS + 2},
      (_, index) => `127.0.0.1:${1 + index}`,
    );
    for (const last of many) {
      const fleet = createFakeFleet(many, ENDPOINTS);
      for (const [address, dispatch] of fleet.instances) {
        if (address !== last) dispatch.stop();
      }
      const [, holder] = [...fleet.instances].find(
        ([address]) => address !== last,
      )!;
      const pending = holder.acquireSlot(makeSlotRequest('request'));
      await fleet.clock.advanceAsync(5);
      assert.equal((await pending).endpoint.address, ENDPOINTS[0].address);
    }
  });

  it('makes batch items of another instance yield to a burst', async () => {
    // Otherwise online requests would wait behind batch items in the engine.
    // Batch items of one instance fill the endpoint, and a burst arrives at
    // another. The dispatcher notifies the first one, which aborts the items
    // and releases their slots.
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
    assert.ok(items.length > 0, 'batch items get idle slots');
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

  describe('when a request ends while it waits', () => {
    /** Fills the endpoint and returns a request of `dispatch` that waits. */
    async function startWaiting(fleet: Fleet, dispatch: FleetDispatch) {
      await acquireMany(fleet, 4);
      const ended = new AbortController();
      const refused = assert.rejects(
        dispatch.acquireSlot(
          makeSlotRequest('late', 'online', {signal: ended.signal}),
        ),
        {code: 'cancelled', verdict: 'not-run'},
      );
      await fleet.clock.advanceAsync(10);
      return {ended, refused};
    }

    function countWaiting(fleet: Fleet): number {
      return [...fleet.instances.values()]
        .flatMap(({pools}) => pools.list())
        .reduce((sum, {dispatcher}) => sum + dispatcher.count().waiting, 0);
    }

    // Guards against a refusal that comes up to 400 ms after the time at which the caller
    // was to have it: another instance answers a waiting request every 250 ms only.
    it('is answered at once although another instance dispatches', async () => {
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
      const {ended, refused} = await startWaiting(fleet, fleet.others[0][1]);
      assert.equal(countWaiting(fleet), 1);
      ended.abort();
      await fleet.clock.advanceAsync(1);
      await refused;
      assert.equal(countWaiting(fleet), 0);
    });

    it('is answered at once although the dispatcher is silent', async () => {
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS, {hasGather: true});
      const [[, holder]] = fleet.others;
      fleet.network.silent.add(fleet.owner[0]);
      const ended = new AbortController();
      const refused = assert.rejects(
        holder.acquireSlot(
          makeSlotRequest('late', 'online', {signal: ended.signal}),
        ),
        {code: 'cancelled', verdict: 'not-run'},
      );
      await fleet.clock.advanceAsync(10);
      ended.abort();
      await fleet.clock.advanceAsync(1);
      await refused;
      // The silence is noted all the same, so that the next request asks another one.
      await fleet.clock.advanceAsync(DISPATCHER_TIMEOUT_MS);
      const next = holder.acquireSlot(makeSlotRequest('next'));
      await fleet.clock.advanceAsync(GATHER_TIMEOUT_MS + 1);
      assert.equal((await next).endpoint.address, ENDPOINTS[0].address);
    });

    // Guards against a request that has ended before it asks, and that then waits until
    // its deadline because no signal follows.
    it('does not begin to wait when it has ended before', async () => {
      for (const isOwn of [true, false]) {
        const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
        await acquireMany(fleet, 4);
        const dispatch = isOwn ? fleet.owner[1] : fleet.others[0][1];
        const refused = assert.rejects(
          dispatch.acquireSlot(
            makeSlotRequest('late', 'online', {signal: AbortSignal.abort()}),
          ),
          {code: 'cancelled', verdict: 'not-run'},
        );
        await fleet.clock.advanceAsync(1);
        assert.equal(countWaiting(fleet), 0);
        await refused;
      }
    });

    it('does not wait at the next dispatcher', async () => {
      const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
      const {ended, refused} = await startWaiting(fleet, fleet.owner[1]);
      fleet.owner[1].stop();
      ended.abort();
      await fleet.clock.advanceAsync(1);
      assert.equal(countWaiting(fleet), 0);
      await refused;
    });
  });

  it('drops the request of a caller that has disconnected', async () => {
    const fleet = createFakeFleet(ENTRIES, ENDPOINTS);
    await acquireMany(fleet, 4);
    const gone = new AbortController();
    const pending = fleet.owner[1].acquireSlot(
      makeSlotRequest('late', 'online', {signal: gone.signal}),
    );
    gone.abort();
    await assert.rejects(pending, {code: 'cancelled', verdict: 'not-run'});
    const [{dispatcher: pool}] = fleet.owner[1].pools.list();
    assert.deepEqual(pool.count(), {waiting: 0, held: 4});
  });
});
