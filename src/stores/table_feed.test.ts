/** Feeds on virtual time, against a store that holds calls and goes silent. */
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

/** A fake store on virtual time; a silent one answers no call at all. */
function createHeldStore() {
  const clock = createVirtualClock();
  const rows: TestRow[] = [];
  const state = {isSilent: false, version: 1};
  const calls: {table: string; at: number}[] = [];
  const waiting = new Set<() => void>();

  function findNews(table: string, after: number): FeedAnswer<TestRow> {
    const news = rows.filter(row => row.table === table && row.version > after);
    return {kind: 'rows', rows: news, version: state.version};
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
        if (!wasSilent && !state.isSilent) resolve(findNews(table, after));
      };
      const answerNews = () => {
        const news = findNews(table, after);
        if (news.kind === 'rows' && news.rows.length > 0) answer();
      };
      waiting.add(answerNews);
      answerNews();
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

function followAll(store: ReturnType<typeof createHeldStore>) {
  store.follow('op', 'sentinel');
  store.follow('servers', 'bounded');
  store.follow('instances', 'own', 500);
}

describe('the feeds of an instance', () => {
  // Guards against an idle fleet whose calls to the store grow beyond what its
  // work needs: each instance asked four times a second for nothing.
  it('ask at most twice a second while nothing changes', async () => {
    const store = createHeldStore();
    followAll(store);
    await store.clock.advanceAsync(2000);
    const before = store.calls.length;
    await store.clock.advanceAsync(20_000);
    assert.ok(store.calls.length - before <= 2 * 20);
  });

  // Guards against a change that stays unknown behind a connection gone silent.
  it('notice a change within its bound though all connections are silent', async () => {
    const store = createHeldStore();
    followAll(store);
    await store.clock.advanceAsync(3000);
    store.state.isSilent = true;
    await store.clock.advanceAsync(1);
    store.state.isSilent = false;
    const changedAt = store.clock.now();
    store.writeRow('servers');
    await store.clock.advanceAsync(BOUND_MS);
    const news = store.seen.find(({table}) => table === 'servers');
    assert.ok(news && news.at - changedAt <= BOUND_MS);
  });

  describe('when the store was away', () => {
    // Guards against an instance that takes the store for lost seconds after it
    // is back: its call hung on, and the next was put off by earlier failures.
    it('are answered within a second and a half of its return', async () => {
      const store = createHeldStore();
      followAll(store);
      await store.clock.advanceAsync(3000);
      for (const awayMs of [5000, 5300, 5700, 6100, 7500]) {
        store.state.isSilent = true;
        await store.clock.advanceAsync(awayMs);
        assert.notEqual(store.feeds.getLostAt(), undefined);
        store.state.isSilent = false;
        await store.clock.advanceAsync(1500);
        assert.equal(store.feeds.getLostAt(), undefined);
        await store.clock.advanceAsync(4321);
      }
    });
  });

  // Guards against a fleet that starts at once and has each instance told of
  // each other's row by an answer of its own: the square of its size in calls.
  it('are told of many writes by few answers', async () => {
    const store = createHeldStore();
    store.follow('instances', 'own', 500);
    await store.clock.advanceAsync(100);
    for (let index = 0; index < 195; index++) {
      store.writeRow('instances');
      await store.clock.advanceAsync(5);
    }
    await store.clock.advanceAsync(1000);
    const told = store.seen.reduce((sum, {rows}) => sum + rows, 0);
    assert.equal(told, 195);
    assert.ok(store.calls.length <= 6);
  });
});
