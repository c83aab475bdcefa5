/**
 * Follows one table of the platform's store: all rows once, then each change.
 * After a failure it goes on where it was; when the store no longer keeps what
 * came since, it reads all rows anew.
 */
import {waitFor, type Clock} from '../common/clock.js';
import type {Log} from '../common/log.js';
import {
  computeHold,
  computeRetryPause,
  FEED_GRACE_MS,
  type FeedRole,
} from '../decisions/feed_pace.js';
import {StoreError} from './table_store.js';

/** Which changes to wait for, and how long. */
export interface FeedQuery {
  /** Version after which changes count. */
  after: number;
  /** How long the store may hold the call while nothing changes, in ms. */
  holdMs: number;
  /** After how long without an answer the call has failed, in ms. */
  timeoutMs: number;
  /** Ends the wait. */
  signal: AbortSignal;
  /** Whether to ask although the store counts as out, to see whether it is back. */
  isProbe: boolean;
}

/** Changes after a version, or word that they are no longer kept. */
export type FeedAnswer<Row> =
  {kind: 'rows'; rows: Row[]; version: number} | {kind: 'history-gone'};

/** A table as it is asked for. Both methods throw StoreError. */
export interface FeedSource<Row> {
  fetchAll(): Promise<{rows: Row[]; version: number}>;
  /** Waits for changes. One try. */
  awaitChanges(query: FeedQuery): Promise<FeedAnswer<Row>>;
}

/** Told of a table's rows. */
export interface FeedListener<Row> {
  reset(rows: readonly Row[]): void;
  change(rows: readonly Row[]): void;
  /** The store answered (again), or gave no answer. */
  noteReach?(isReached: boolean): void;
}

/** What a feed works with. */
export interface FeedDependencies {
  clock: Clock;
  log: Log;
  /** Draws from 0 to 1. */
  random: () => number;
}

/** How a table is followed. */
export interface FeedOptions {
  role: FeedRole;
  /** By when a change must be noticed, silent connections included, in ms. */
  boundMs: number;
  /**
   * Pause after a change, in ms: where many instances write to a table that all
   * follow, each would otherwise be told of every single write.
   */
  pauseMs?: number;
}

/** A feed that goes on until it is stopped. */
export interface TableFeed {
  /** Drops what is waited for, and asks at once. */
  askAgain(): void;
  stop(): void;
}

/** Starts at once. `table` names it in logs. */
export function startTableFeed<Row>(
  {clock, log, random}: FeedDependencies,
  table: string,
  source: FeedSource<Row>,
  listener: FeedListener<Row>,
  {role, boundMs, pauseMs = 0}: FeedOptions,
): TableFeed {
  const holdMs = computeHold(role, boundMs);
  let version: number | undefined;
  let isStopped = false;
  let isReached: boolean | undefined;
  let lostAt = 0;
  let wasReadAnew = false;
  /** Ends the present wait, for an answer or before the next call. */
  let wait = new AbortController();

  function noteReach(reached: boolean, error?: unknown) {
    const wasReached = isReached;
    isReached = reached;
    listener.noteReach?.(reached);
    if (reached === wasReached) return;
    if (!reached) {
      lostAt = clock.now();
      log.info({table, err: String(error)}, 'store feed lost');
    } else if (wasReached !== undefined) {
      const lostMs = Math.round(clock.now() - lostAt);
      log.info({table, lostMs, wasReadAnew}, 'store feed regained');
    }
  }

  /** While the store is lost it is not to hold the call that finds it back. */
  function askForChanges(after: number) {
    const isLost = isReached === false;
    const heldMs = isLost ? 0 : holdMs;
    return source.awaitChanges({
      after,
      holdMs: heldMs,
      timeoutMs: heldMs + FEED_GRACE_MS,
      signal: wait.signal,
      isProbe: isLost && role === 'sentinel',
    });
  }

  async function readAll() {
    const all = await source.fetchAll();
    if (isStopped) return;
    listener.reset(all.rows);
    version = all.version;
    noteReach(true);
  }

  async function followOnce(after: number) {
    const news = await askForChanges(after);
    if (isStopped) return;
    if (news.kind === 'history-gone') {
      version = undefined;
      return;
    }
    version = Math.max(after, news.version);
    const hasChanged = news.rows.length > 0;
    if (hasChanged) listener.change(news.rows);
    noteReach(true);
    if (hasChanged && pauseMs > 0) await waitUnlessWoken(pauseMs);
  }

  /** Ends early when it is to ask at once. */
  async function waitUnlessWoken(ms: number) {
    const {signal} = wait;
    const woken = new Promise<void>(resolve =>
      signal.addEventListener('abort', () => resolve(), {once: true}),
    );
    await Promise.race([waitFor(clock, ms), woken]);
  }

  async function follow() {
    while (!isStopped) {
      wait = new AbortController();
      wasReadAnew = version === undefined;
      try {
        if (version === undefined) await readAll();
        else await followOnce(version);
      } catch (error) {
        if (isStopped) return;
        if (wait.signal.aborted) continue;
        noteReach(false, error);
        if (!(error instanceof StoreError)) {
          log.error({table, err: error}, 'store feed failed and goes on');
        }
        await waitUnlessWoken(computeRetryPause(role, random()));
      }
    }
  }

  void follow();
  return {
    askAgain: () => wait.abort(),
    stop() {
      isStopped = true;
      wait.abort();
    },
  };
}
