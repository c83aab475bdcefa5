/**
 * Follows one table of the platform's store: reads all rows once, then each
 * change. After a failure it continues from the last version; if the store no
 * longer retains the changes since then, it reads all rows again.
 */
import {waitFor, type Clock} from '../common/clock.js';
import type {Log} from '../common/log.js';
import {
  computeHoldMs,
  computeRetryPause,
  FEED_GRACE_MS,
  type FeedRole,
} from '../decisions/feed_pace.js';
import {StoreError} from './table_store.js';

/** Describes which changes to wait for, and how long. */
export interface FeedQuery {
  /** Version after which changes are returned. */
  after: number;
  /** How long the store holds the call while nothing changes, in ms. */
  holdMs: number;
  /** Timeout of the call, in ms. */
  timeoutMs: number;
  /** Aborts the call. */
  signal: AbortSignal;
  /**
   * Whether to send the call even if the store counts as unavailable, to detect
   * its recovery.
   */
  isProbe: boolean;
}

/**
 * The changes after a version; `history-gone` if the store no longer retains
 * them.
 */
export type FeedAnswer<Row> =
  {kind: 'rows'; rows: Row[]; version: number} | {kind: 'history-gone'};

/** Source of a table's rows. Both methods throw StoreError. */
export interface FeedSource<Row> {
  fetchAll(): Promise<{rows: Row[]; version: number}>;
  /** Waits for changes in one attempt. */
  awaitChanges(query: FeedQuery): Promise<FeedAnswer<Row>>;
}

/** Receives a table's rows, and the version as of which they were read. */
export interface FeedListener<Row> {
  reset(rows: readonly Row[], version: number): void;
  change(rows: readonly Row[], version: number): void;
  /** Receives whether the store responded to a call. */
  noteReachability?(isReachable: boolean): void;
}

/** Dependencies of a feed. */
export interface FeedDependencies {
  clock: Clock;
  log: Log;
  /** Returns a number from 0 to 1. */
  random: () => number;
}

/** How a table is followed. */
export interface FeedOptions {
  role: FeedRole;
  /**
   * Time within which a change must be noticed, even on a silent connection, in
   * ms.
   */
  boundMs: number;
  /**
   * Pause after a change, in ms. If many instances write to a table that all
   * follow, each would otherwise receive every write in a separate response.
   */
  pauseMs?: number;
}

/** A feed that runs until it is stopped. */
export interface TableFeed {
  /** Aborts the current call or pause and queries the store immediately. */
  wake(): void;
  stop(): void;
}

/** Starts immediately. `table` is its name in logs. */
export function startTableFeed<Row>(
  {clock, log, random}: FeedDependencies,
  table: string,
  source: FeedSource<Row>,
  listener: FeedListener<Row>,
  {role, boundMs, pauseMs = 0}: FeedOptions,
): TableFeed {
  const holdMs = computeHoldMs(role, boundMs);
  let version: number | undefined;
  let isStopped = false;
  let isReachable: boolean | undefined;
  let lostSince = 0;
  let wasReadAnew = false;
  /** Aborts the current call or the pause before the next one. */
  let wait = new AbortController();

  function noteReachability(reachable: boolean, error?: unknown) {
    const wasReachable = isReachable;
    isReachable = reachable;
    listener.noteReachability?.(reachable);
    if (reachable === wasReachable) return;
    if (!reachable) {
      lostSince = clock.now();
      log.info({table, err: String(error)}, 'store feed lost; retrying');
    } else if (wasReachable !== undefined) {
      const lostMs = Math.round(clock.now() - lostSince);
      log.info({table, lostMs, wasReadAnew}, 'store feed recovered');
    }
  }

  /**
   * While the store is unreachable, it must not hold the call that detects its
   * recovery.
   */
  function fetchChanges(after: number) {
    const isLost = isReachable === false;
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
    listener.reset(all.rows, all.version);
    version = all.version;
    noteReachability(true);
  }

  async function followOnce(after: number) {
    const answer = await fetchChanges(after);
    if (isStopped) return;
    if (answer.kind === 'history-gone') {
      version = undefined;
      return;
    }
    version = Math.max(after, answer.version);
    const hasChanged = answer.rows.length > 0;
    if (hasChanged) listener.change(answer.rows, version);
    noteReachability(true);
    if (hasChanged && pauseMs > 0) await waitUnlessAborted(pauseMs);
  }

  /** Waits, but returns early when the feed is woken or stopped. */
  async function waitUnlessAborted(ms: number) {
    const {signal} = wait;
    const onAbort = new Promise<void>(resolve =>
      signal.addEventListener('abort', () => resolve(), {once: true}),
    );
    await Promise.race([waitFor(clock, ms), onAbort]);
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
        noteReachability(false, error);
        if (!(error instanceof StoreError)) {
          log.error(
            {table, err: error},
            'store feed failed unexpectedly; retrying',
          );
        }
        await waitUnlessAborted(computeRetryPause(role, random()));
      }
    }
  }

  void follow();
  return {
    wake: () => wait.abort(),
    stop() {
      isStopped = true;
      wait.abort();
    },
  };
}
