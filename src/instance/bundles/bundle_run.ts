/**
 * One bundle that this instance works on: which of its items wait, run, have
 * ended or are listed. Results are listed in groups, each by one transaction
 * that only the present owner can commit.
 */
import type {Clock} from '../../common/clock.js';
import type {Log} from '../../common/log.js';
import type {SharedTime} from '../../common/shared_time.js';
import {StoreError} from '../../stores/table_store.js';
import {HELD_ITEM_RETRY_MS} from '../quarantine/constants.js';
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
  TIME_ERROR_MS,
} from './constants.js';
import {encodeProgress, type BundleProgress} from './item_progress.js';
import type {ItemOutcome, ItemTask} from './item_runner.js';
import {
  buildCompleteResult,
  collectProgress,
  createItemStates,
  selectForCommit,
  type ItemState,
} from './item_states.js';
import {createItemText} from './item_text.js';

/** An item that may be run now. */
export interface RunnableItem {
  task: ItemTask;
  signal: AbortSignal;
  /** Takes in how the try ended. */
  finish(outcome: ItemOutcome): void;
}

/** Work on one bundle. */
export interface BundleRun {
  id: string;
  /** Of the ownership it commits under. */
  epoch: number;
  /** Monotonic time by which its results are due. */
  dueAt: number;
  countOpen(): number;
  /** The next item that may run; it counts as running from now on. */
  takeItem(now: number): RunnableItem | undefined;
  /** Looks whether the bundle is still open and this instance's. */
  confirm(now: number): Promise<void>;
  /** Gives up items past their time or whose route is gone. */
  expire(now: number): void;
  /** Stops all work; nothing is committed any more. */
  stop(): void;
  /** What was done of items that are not listed, for the next owner. */
  exportProgress(): string;
  /** Events that came in so far: tells whether progress is worth keeping. */
  countEvents(): number;
  /** Waits for a commit that is under way. */
  settle(): Promise<void>;
  isStopped(): boolean;
}

/** What a run works with. */
export interface BundleRunDependencies {
  clock: Clock;
  time: SharedTime;
  log: Log;
  store: BundleStore;
  routing: RoutingTable;
  /** Told when nothing is left to do, or the bundle is another's. */
  onEnd: () => void;
  /** Told when an item may be run again. */
  onWork: () => void;
}

type OutcomeHandlers = {
  [Kind in ItemOutcome['kind']]: (
    state: ItemState,
    outcome: Extract<ItemOutcome, {kind: Kind}>,
  ) => void;
};

/** Used where the bundle's route is not known any more, in ms. */
const DEFAULT_LIFETIME_MS = 60_000;
const DEFAULT_MAX_ATTEMPTS = 3;

/** `progress` is what the owner before handed over. */
export function createBundleRun(
  {clock, time, log, store, routing, onEnd, onWork}: BundleRunDependencies,
  stored: StoredBundle,
  items: readonly BundleItem[],
  progress: BundleProgress = {},
): BundleRun {
  const {id} = stored;
  const {account, route: routeName, acceptedAt, routingVersion} = stored.fields;
  const controller = new AbortController();
  const route = routing.findRouteByName(routeName);
  // Where the time is not known the bundle counts as new: its items are then
  // given up too late, never too early.
  const ageMs = Math.max(0, (time.read() ?? acceptedAt) - acceptedAt);
  const dueAt = clock.now() - ageMs + (route?.dueMs ?? 0);
  const lifetimeMs = route?.itemLifetimeMs || DEFAULT_LIFETIME_MS;
  const expiresAt = clock.now() - ageMs + lifetimeMs + TIME_ERROR_MS;
  let bundle = stored;
  let listed = decodeListed(stored.fields.listed);
  let commitTimer: (() => void) | undefined;
  let committing: Promise<void> | undefined;
  let isEnded = false;
  /** When the store last showed that the bundle is this instance's. */
  let confirmedAt = clock.now();
  const states = createItemStates(items, listed, progress);

  function end(reason: string) {
    if (isEnded) return;
    isEnded = true;
    controller.abort();
    commitTimer?.();
    log.info({bundle: id, listed: listed.length, reason}, 'bundle let go');
    onEnd();
  }

  function endItem(state: ItemState, result: Omit<ItemResult, 'itemId'>) {
    state.state = 'ended';
    state.result = {itemId: state.item.id, ...result};
    scheduleCommit(COMMIT_DELAY_MS);
  }

  function giveUp(state: ItemState, reason: string) {
    log.info({bundle: id, item: state.item.id, reason}, 'item given up');
    endItem(state, {state: 'given-up', text: ''});
  }

  function retryLater(state: ItemState, delayMs: number) {
    state.state = 'waiting';
    state.notBefore = clock.now() + delayMs;
    clock.schedule(delayMs, onWork);
  }

  function computeBackoff({tries}: ItemState): number {
    return Math.min(ITEM_RETRY_MAX_MS, ITEM_RETRY_MS * 2 ** Math.min(tries, 5));
  }

  const handlers: OutcomeHandlers = {
    complete(state) {
      state.state = 'ended';
      state.result = buildCompleteResult(state);
      scheduleCommit(COMMIT_DELAY_MS);
    },
    poison: state => giveUp(state, 'the endpoint cannot do it'),
    failed(state, {endpoint}) {
      state.avoid.push(endpoint);
      // Counted by answers, not tries: only those prove that it was run.
      state.failures++;
      const most =
        routing.findRouteByName(routeName)?.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
      if (state.failures >= most) giveUp(state, 'it failed too often');
      else retryLater(state, ITEM_RETRY_MS);
    },
    interrupted(state, {endpoint}) {
      if (endpoint) state.avoid = [endpoint];
      retryLater(state, endpoint ? computeBackoff(state) : 0);
    },
    'no-slot'(state, {retryAfterMs}) {
      retryLater(state, Math.max(retryAfterMs, computeBackoff(state)));
    },
    // It may not be given up before its time is over, unless endpoints say so.
    held(state, {retryAfterMs}) {
      retryLater(state, Math.min(retryAfterMs, HELD_ITEM_RETRY_MS));
    },
    'no-route'(state) {
      // Routing may be older here than where the bundle was accepted.
      const isGone = routing.getVersion() >= routingVersion;
      if (isGone) giveUp(state, 'its route was taken away');
      else retryLater(state, computeBackoff(state));
    },
  };

  function finishItem(state: ItemState, outcome: ItemOutcome) {
    if (isEnded || state.state !== 'running') return;
    state.state = 'waiting';
    const handler = handlers[outcome.kind] as (
      state: ItemState,
      outcome: ItemOutcome,
    ) => void;
    handler(state, outcome);
    if (outcome.kind === 'complete') return;
    log.info(
      {bundle: id, item: state.item.id, tries: state.tries, ...outcome},
      'item try ended',
    );
  }

  function scheduleCommit(delayMs: number) {
    if (commitTimer || committing || isEnded) return;
    commitTimer = clock.schedule(delayMs, () => {
      commitTimer = undefined;
      committing = commitEnded().finally(() => {
        committing = undefined;
        const isMore = states.some(({state}) => state === 'ended');
        if (isMore) scheduleCommit(COMMIT_DELAY_MS);
      });
    });
  }

  async function commitEnded() {
    const chosen = selectForCommit(states);
    if (chosen.length === 0 || isEnded) return;
    const next = [...listed, ...chosen.map(({index}) => index)];
    try {
      const committed = await store.commitResults(
        bundle,
        next,
        chosen.map(({result}) => result!),
      );
      if (committed) noteListed(committed);
      else await syncWithStore();
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.warn({bundle: id, err: error.message}, 'results not committed yet');
      await new Promise<void>(resolve =>
        clock.schedule(COMMIT_RETRY_MS, resolve),
      );
      await syncWithStore().catch(() => {});
    }
  }

  /** After a commit that failed or whose outcome is not known. */
  async function syncWithStore() {
    noteCurrent(await store.find(id));
  }

  function noteCurrent(current: StoredBundle | undefined) {
    const isOurs =
      current?.fields.state === 'open' &&
      current.fields.epoch === bundle.fields.epoch;
    if (current && isOurs) noteListed(current);
    else if (current && current.fields.state === 'complete')
      noteListed(current);
    else end(current ? 'another owner or ended' : 'its row is gone');
  }

  /** A position that is listed in the store is final, whoever wrote it. */
  function noteListed(current: StoredBundle) {
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

  function takeItem(now: number): RunnableItem | undefined {
    if (isEnded) return undefined;
    const state = states.find(
      each => each.state === 'waiting' && each.notBefore <= now,
    );
    if (!state) return undefined;
    state.state = 'running';
    state.tries++;
    const {item, text, tries, avoid} = state;
    return {
      task: {item, account, route: routeName, dueAt, text, tries, avoid},
      signal: controller.signal,
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
        // A commit that came between has shown more than this look.
        if (committing || bundle.version !== version || isEnded) return;
        noteCurrent(current);
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.info({bundle: id, err: error.message}, 'bundle not confirmed');
      }
    },
    expire(now) {
      if (now < expiresAt || isEnded) return;
      for (const state of states) {
        if (state.state === 'waiting') giveUp(state, 'its time is over');
      }
    },
    stop: () => end('stopped'),
    exportProgress: () => encodeProgress(collectProgress(states)),
    countEvents: () =>
      states.reduce((sum, {text}) => sum + text.pieces.length, 0),
    settle: async () => committing,
    isStopped: () => isEnded,
  };
}
