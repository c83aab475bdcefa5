/**
 * Feeds on virtual time, with a fake store that holds calls and may go silent.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLog} from '../common/log.js';
import {createVirtualClock} from '../common/virtual_clock.js';
import {createStoreFeeds} from './store_feeds.js';
import type {FeedAnswer, FeedQuery} from './table_feed.js';
import {StoreError} from './table_store.js';

const BOUND_MS = 4000;

interface TestRow {
  table: string;
  version: number;
}

/** Fakes a store on virtual time; a silent one responds to no call at all. */
function createFakeStore() {
  const clock = createVirtualClock();
  const rows: TestRow[] = [];
  const state = {isSilent: false, version: 1};
  const calls: {table: string; at: number}[] = [];
  const waiting = new Set<() => void>();

  function findChanges(table: string, after: number): FeedAnswer<TestRow> {
    const changed = rows.filter(
      row => row.table === table && row.version > after,
    );
    return {kind: 'rows', rows: changed, version: state.version};
  }

  function awaitChanges(
    table: string,
    {after, holdMs, timeoutMs, signal}: FeedQuery,
  ): Promise<FeedAnswer<TestRow>> {
    calls.push({table, at: clock.now()});
    const wasSilent = state.isSilent;
    return new Promise((resolve, reject) => {
      const fail = () => reject(new StoreError('no answer in time', 'none'));
      signal.addEventListener('abort', fail);
      clock.schedule(timeoutMs, fail);
      const answer = () => {
        if (!wasSilent && !state.isSilent) resolve(findChanges(table, after));
      };
      const answerIfChanged = () => {
        const answered = findChanges(table, after);
        if (answered.kind === 'rows' && answered.rows.length > 0) answer();
      };
      waiting.add(answerIfChanged);
      answerIfChanged();
      clock.schedule(holdMs, answer);
    });
  }

  const feeds = createStoreFeeds({
    clock,
    log: createSilentLog(),
    random: () => 0.5,
  });
  const seen: {table: string; at: number; rows: number}[] = [];

  function follow(
    table: string,
    role: 'sentinel' | 'bounded' | 'own',
    pauseMs = 0,
  ) {
    const listener = {
      reset() {},
      change: (changed: readonly TestRow[]) =>
        void seen.push({table, at: clock.now(), rows: changed.length}),
    };
    const source = {
      fetchAll: async () => ({rows: [], version: state.version}),
      awaitChanges: (query: FeedQuery) => awaitChanges(table, query),
    };
    feeds.start(table, source, listener, {role, boundMs: BOUND_MS, pauseMs});
  }

  return {
    clock,
    state,
    calls,
    seen,
    feeds,
    follow,
    writeRow(table: string) {
      state.version++;
      rows.push({table, version: state.version});
      waiting.forEach(answer => answer());
    },
  };
}

function followAll(store: ReturnType<typeof createFakeStore>) {
  store.follow('op', 'sentinel');
  store.follow('servers', 'bounded');
  store.follow('instances', 'own', 500);
}

describe('the feeds of an instance', () => {
  // Guards against needless load on the store from an idle fleet: each instance
  // used to query it 4 times a second although nothing changed.
  it('query at most twice a second while nothing changes', async () => {
    const store = createFakeStore();
    followAll(store);
    await store.clock.advanceAsync(2000);
    const before = store.calls.length;
    await store.clock.advanceAsync(20_000);
    assert.ok(store.calls.length - before <= 2 * 20);
  });

  // Guards against a change that goes unnoticed because a connection went
  // silent without a reset.
  it('notice a change within its bound after all connections went silent', async () => {
    const store = createFakeStore();
    followAll(store);
    await store.clock.advanceAsync(3000);
    store.state.isSilent = true;
    await store.clock.advanceAsync(1);
    store.state.isSilent = false;
    const changedAt = store.clock.now();
    store.writeRow('servers');
    await store.clock.advanceAsync(BOUND_MS);
    const notified = store.seen.find(({table}) => table === 'servers');
    assert.ok(notified && notified.at - changedAt <= BOUND_MS);
  });

  describe('after an outage of the store', () => {
    // Guards against an instance that considers the store lost for seconds
    // after its recovery: its call stayed open, and earlier failures delayed
    // the next.
    it('get a response within 1.5 s of its recovery', async () => {
      const store = createFakeStore();
      followAll(store);
      await store.clock.advanceAsync(3000);
      for (const awayMs of [5000, 5300, 5700, 6100, 7500]) {
        store.state.isSilent = true;
        await store.clock.advanceAsync(awayMs);
        assert.notEqual(store.feeds.getUnreachableSince(), undefined);
        store.state.isSilent = false;
        await store.clock.advanceAsync(1500);
        assert.equal(store.feeds.getUnreachableSince(), undefined);
        await store.clock.advanceAsync(4321);
      }
    });
  });

  // Guards against calls that grow with the square of the fleet's size: when
  // all instances start together, each would get every other instance's row in
  // a separate response.
  it('receive many writes in few responses', async () => {
    const store = createFakeStore();
    store.follow('instances', 'own', 500);
    await store.clock.advanceAsync(100);
    for (let index = 0; index < 195; index++) {
      store.writeRow('instances');
      await store.clock.advanceAsync(5);
    }
    await store.clock.advanceAsync(1000);
    const notified = store.seen.reduce((sum, {rows}) => sum + rows, 0);
    assert.equal(notified, 195);
    assert.ok(store.calls.length <= 6);
  });
});
