/**
 * Runs one bundle that this instance owns, and tracks which of its items are
 * waiting, running, ended or listed. Results are listed in groups. Each group
 * is one transaction that only the current owner can commit.
 */
import {waitFor, type Clock} from '../../common/clock.js';
import type {Log} from '../../common/log.js';
import type {SharedTime} from '../../common/shared_time.js';
import {PROBATION_RUNS} from '../../decisions/item_probation.js';
import {StoreError} from '../../stores/table_store.js';
import type {Route} from '../routing/routing_document.js';
import type {RoutingTable} from '../routing/routing_table.js';
import type {StoredBundle} from './bundle_rows.js';
import type {BundleStore} from './bundle_store.js';
import {
  decodeListed,
  type BundleItem,
  type ItemResult,
} from './bundle_types.js';
import {
  COMMIT_DELAY_MS,
  COMMIT_RETRY_MS,
  CONFIRM_INTERVAL_MS,
  ITEM_RETRY_MAX_MS,
  ITEM_RETRY_MS,
  MAX_FRUITLESS_RUNS,
  MAX_TIME_ERROR_MS,
  MISSING_ROUTE_TIMEOUT_MS,
  OVERDUE_LOG_INTERVAL_MS,
  OVERSIZED_ITEM_RETRY_MS,
} from './constants.js';
import {encodeProgress, type BundleProgress} from './item_progress.js';
import {findItemRoute} from './item_route.js';
import {isFruitless, type ItemOutcome, type ItemTask} from './item_runner.js';
import {
  buildCompleteResult,
  buildGivenUpResult,
  collectProgress,
  countPlaces,
  createItemStates,
  type ItemState,
} from './item_states.js';
import {clearItemText, createItemText} from './item_text.js';
import {createResultBatches} from './result_batches.js';

/** An item that was taken to be run now. */
export interface RunnableItem {
  task: ItemTask;
  signal: AbortSignal;
  isOnProbation: boolean;
  /** Handles the outcome of the attempt. */
  finish(outcome: ItemOutcome): void;
}

/** One bundle that this instance owns. */
export interface BundleRun {
  id: string;
  /** Epoch of the ownership under which results are committed. */
  epoch: number;
  /** Monotonic time by which the results are due. */
  dueAt: number;
  countOpen(): number;
  /**
   * Takes the next item that may run and marks it as running; one on probation only if
   * `allowsProbation`.
   */
  takeItem(now: number, allowsProbation: boolean): RunnableItem | undefined;
  /** Checks in the store that the bundle is open and owned by this instance. */
  confirm(now: number): Promise<void>;
  /** Logs where the open items of an overdue bundle are, at a bounded rate. */
  reportOverdue(now: number): void;
  /** Gives up the waiting items of a bundle that is past its lifetime. */
  expire(now: number): void;
  /** Stops all items; nothing is committed any more. */
  stop(): void;
  /** Encodes the progress of items that are not listed, for the next owner. */
  exportProgress(): string;
  /** Number of events received of items that are not listed. */
  countEvents(): number;
  /** Waits for a commit that is in progress. */
  settle(): Promise<void>;
  isStopped(): boolean;
}

export interface BundleRunDependencies {
  clock: Clock;
  time: SharedTime;
  log: Log;
  store: BundleStore;
  routing: RoutingTable;
  /**
   * Called when the bundle is complete, stopped or owned by another instance.
   */
  onEnd: () => void;
  /** Called when an item may be run again. */
  onWork: () => void;
}

type OutcomeHandlers = {
  [Kind in ItemOutcome['kind']]: (
    state: ItemState,
    outcome: Extract<ItemOutcome, {kind: Kind}>,
  ) => void;
};

/** Lifetime of items whose route states none. */
const DEFAULT_LIFETIME_MS = 60_000;

/** Attempts of items whose route this instance has never known. */
const DEFAULT_MAX_ATTEMPTS = 3;

/** Creates the run of a bundle; `progress` is what the last owner stored. */
export function createBundleRun(
  {clock, time, log, store, routing, onEnd, onWork}: BundleRunDependencies,
  stored: StoredBundle,
  items: readonly BundleItem[],
  progress: BundleProgress = {},
): BundleRun {
  const {id} = stored;
  const {account, route, host, acceptedAt, routingVersion} = stored.fields;
  const origin = {route, host};
  const controller = new AbortController();
  // If the shared time is not known, the bundle counts as new. Its items are
  // then given up too late, never too early.
  const ageMs = Math.max(0, (time.read() ?? acceptedAt) - acceptedAt);
  const startedAt = clock.now() - ageMs;
  const dueAt = startedAt + (findRoute(items[0])?.dueMs ?? 0);
  let bundle = stored;
  let listed = decodeListed(stored.fields.listed);
  let commitTimer: (() => void) | undefined;
  let committing: Promise<void> | undefined;
  let isEnded = false;
  const batches = createResultBatches(id, log);
  let reportAt = dueAt > startedAt ? dueAt : Infinity;
  /** Time at which the store last showed that this instance owns the bundle. */
  let confirmedAt = clock.now();
  const states = createItemStates(items, listed, progress);
  for (const state of states) updateTerms(state);

  function findRoute({target}: BundleItem): Route | undefined {
    return findItemRoute(routing, origin, target);
  }

  /**
   * Notes what the current route of an item allows. Without a route the last terms
   * apply, because the next version of the configuration may have the route again. A
   * lifetime never shrinks, because the bundle may have been accepted with the longer
   * one.
   */
  function updateTerms(state: ItemState) {
    const found = findRoute(state.item);
    if (!found) return;
    state.maxFailures = found.maxAttempts;
    state.lifetimeMs = Math.max(
      state.lifetimeMs ?? 0,
      found.itemLifetimeMs || DEFAULT_LIFETIME_MS,
    );
  }

  function end(reason: string) {
    if (isEnded) return;
    isEnded = true;
    controller.abort();
    commitTimer?.();
    log.info(
      {bundle: id, listed: listed.length, reason},
      'bundle stopped on this instance',
    );
    onEnd();
  }

  /** An item whose route has never been known here may still live. */
  function hasExpired({lifetimeMs = Infinity}: ItemState, now: number) {
    return now >= startedAt + lifetimeMs + MAX_TIME_ERROR_MS;
  }

  function endItem(state: ItemState, result: ItemResult) {
    state.state = 'ended';
    state.result = result;
    scheduleCommit(COMMIT_DELAY_MS);
  }

  function giveUp(state: ItemState, reason: string) {
    log.info({bundle: id, item: state.item.id, reason}, 'item given up');
    endItem(state, buildGivenUpResult(state));
  }

  function retryLater(state: ItemState, delayMs: number) {
    state.state = 'waiting';
    state.notBefore = clock.now() + delayMs;
    clock.schedule(delayMs, onWork);
  }

  /** Runs that add events are followed by the shortest backoff. */
  function handleCutRun(state: ItemState, wasFruitless: boolean) {
    state.fruitless = wasFruitless ? state.fruitless + 1 : 0;
    const isHopeless = state.fruitless % MAX_FRUITLESS_RUNS === 0;
    if (wasFruitless && isHopeless) clearText(state);
    retryLater(state, computeBackoff(state.fruitless));
  }

  /** Nobody has read the text yet. */
  function clearText({item, text, fruitless}: ItemState) {
    if (text.pieces.length === 0) return;
    log.info(
      {bundle: id, item: item.id, events: text.pieces.length, fruitless},
      'item starts again: no endpoint went on with its text',
    );
    clearItemText(text);
  }

  const handlers: OutcomeHandlers = {
    complete: state => endItem(state, buildCompleteResult(state)),
    poison: state =>
      giveUp(state, 'the endpoint responded that it can never run the item'),
    failed(state, {endpoint}) {
      state.avoid.push(endpoint);
      // Counts responses, not attempts: only a response proves that the item
      // ran.
      state.failures++;
      updateTerms(state);
      if (state.failures >= (state.maxFailures ?? DEFAULT_MAX_ATTEMPTS))
        giveUp(state, 'the item failed as often as its route allows');
      else retryLater(state, ITEM_RETRY_MS);
    },
    interrupted(state, outcome) {
      const {endpoint} = outcome;
      if (endpoint) state.avoid = [endpoint];
      if (endpoint) handleCutRun(state, isFruitless(outcome));
      else retryLater(state, 0);
    },
    // The refusal may be meant for callers, who can go elsewhere; an item cannot.
    'no-slot'(state, {retryAfterMs}) {
      const delayMs = Math.max(retryAfterMs, computeBackoff(state.attempts));
      retryLater(state, Math.min(delayMs, ITEM_RETRY_MAX_MS));
    },
    // The configuration may yet state more memory, so the item is kept until the end
    // of its lifetime, but tried rarely.
    'too-large': state => retryLater(state, OVERSIZED_ITEM_RETRY_MS),
    'no-route'(state) {
      const now = clock.now();
      // This instance may have an older routing version than the one that
      // accepted the bundle.
      const isOutdated = routing.getVersion() < routingVersion;
      state.unroutedSince = isOutdated
        ? undefined
        : (state.unroutedSince ?? now);
      const missingMs = now - (state.unroutedSince ?? now);
      if (missingMs < MISSING_ROUTE_TIMEOUT_MS)
        retryLater(state, computeBackoff(state.attempts));
      else giveUp(state, 'its route was removed');
    },
  };

  function finishItem(state: ItemState, outcome: ItemOutcome) {
    if (isEnded || state.state !== 'running') return;
    state.state = 'waiting';
    state.lastOutcome = outcome.kind;
    if (outcome.kind !== 'no-route') state.unroutedSince = undefined;
    const handler = handlers[outcome.kind] as (
      state: ItemState,
      outcome: ItemOutcome,
    ) => void;
    handler(state, outcome);
    if (outcome.kind === 'complete') return;
    log.info(
      {bundle: id, item: state.item.id, tries: state.attempts, ...outcome},
      'item attempt ended',
    );
  }

  function scheduleCommit(delayMs: number) {
    if (commitTimer || committing || isEnded) return;
    commitTimer = clock.schedule(delayMs, () => {
      commitTimer = undefined;
      committing = commitEnded().finally(() => {
        committing = undefined;
        const hasMore = states.some(({state}) => state === 'ended');
        if (hasMore) scheduleCommit(COMMIT_DELAY_MS);
      });
    });
  }

  async function commitEnded() {
    const batch = batches.select(states);
    if (batch.length === 0 || isEnded) return;
    const next = [...listed, ...batch.map(({index}) => index)];
    const results = batch.map(({result}) => result!);
    try {
      const committed = await store.commitResults(bundle, next, results);
      batches.noteCommitted();
      if (committed) applyListed(committed);
      else await syncWithStore();
    } catch (error) {
      // Also an error that is none of the store must not end the process.
      batches.noteFailed(batch, error as Error);
      await waitFor(clock, COMMIT_RETRY_MS);
      await syncWithStore().catch(() => {});
    }
  }

  /**
   * Reads the bundle after a commit that failed or whose outcome is unknown.
   */
  async function syncWithStore() {
    applyStored(await store.find(id));
  }

  function applyStored(current: StoredBundle | undefined) {
    const isOurs =
      current?.fields.state === 'open' &&
      current.fields.epoch === bundle.fields.epoch;
    if (current && isOurs) applyListed(current);
    else if (current && current.fields.state === 'complete')
      applyListed(current);
    else
      end(
        current
          ? 'bundle has another owner or was ended'
          : 'bundle row is missing',
      );
  }

  /** Positions that are listed in the store are final, whoever wrote them. */
  function applyListed(current: StoredBundle) {
    bundle = current;
    confirmedAt = clock.now();
    listed = decodeListed(current.fields.listed);
    for (const index of listed) {
      states[index].state = 'listed';
      states[index].result = undefined;
      states[index].text = createItemText();
    }
    if (listed.length === states.length) end('complete');
  }

  function takeItem(
    now: number,
    allowsProbation: boolean,
  ): RunnableItem | undefined {
    if (isEnded) return undefined;
    const state = states.find(
      each =>
        each.state === 'waiting' &&
        each.notBefore <= now &&
        (allowsProbation || !isOnProbation(each)),
    );
    if (!state) return undefined;
    state.state = 'running';
    state.attempts++;
    const {item, text, attempts, avoid, lastOutcome} = state;
    const isStuck = now >= dueAt && lastOutcome === 'no-slot';
    return {
      task: {item, account, origin, dueAt, text, attempts, avoid, isStuck},
      signal: controller.signal,
      isOnProbation: isOnProbation(state),
      finish: outcome => finishItem(state, outcome),
    };
  }

  if (states.some(({state}) => state === 'ended')) {
    scheduleCommit(COMMIT_DELAY_MS);
  }

  return {
    id,
    epoch: stored.fields.epoch,
    dueAt,
    takeItem,
    countOpen: () =>
      states.filter(({state}) => state === 'waiting' || state === 'running')
        .length,
    async confirm(now) {
      const isDue = now - confirmedAt >= CONFIRM_INTERVAL_MS;
      if (!isDue || committing || isEnded) return;
      confirmedAt = now;
      const {version} = bundle;
      try {
        const current = await store.find(id);
        // A commit during the read has shown more than the read.
        if (committing || bundle.version !== version || isEnded) return;
        applyStored(current);
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.info(
          {bundle: id, err: error.message},
          'ownership of the bundle not confirmed: store call failed',
        );
      }
    },
    expire(now) {
      if (isEnded) return;
      for (const state of states) {
        if (state.state !== 'waiting') continue;
        updateTerms(state);
        if (hasExpired(state, now)) giveUp(state, 'its lifetime has expired');
      }
    },
    reportOverdue(now) {
      if (isEnded || now < reportAt) return;
      reportAt = now + OVERDUE_LOG_INTERVAL_MS;
      const overdueMs = Math.round(now - dueAt);
      log.warn(
        {
          bundle: id,
          epoch: bundle.fields.epoch,
          overdueMs,
          places: countPlaces(states),
          failedCommits: batches.countFailed(),
        },
        'bundle is overdue',
      );
    },
    stop: () => end('stopped'),
    exportProgress: () => encodeProgress(collectProgress(states)),
    countEvents: () =>
      states.reduce((sum, {text}) => sum + text.pieces.length, 0),
    settle: async () => committing,
    isStopped: () => isEnded,
  };
}

function isOnProbation({fruitless}: ItemState): boolean {
  return fruitless >= PROBATION_RUNS;
}

/** Exponential backoff after a number of attempts, in ms. */
function computeBackoff(attempts: number): number {
  return Math.min(
    ITEM_RETRY_MAX_MS,
    ITEM_RETRY_MS * 2 ** Math.min(attempts, 5),
  );
}
