/**
 * Runs one item of a bundle: acquires a slot that online requests leave free,
 * sends the item to the slot's endpoint and determines the outcome.
 */
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import {computeContentId} from '../../common/ids.js';
import {createItemWork} from '../../decisions/item_work.js';
import type {Log} from '../../common/log.js';
import type {Slot} from '../dispatch/dispatch.js';
import type {FleetDispatch} from '../dispatch/fleet_dispatch.js';
import {
  runOnSlot,
  type RunEnd,
  type RunListener,
  type SlotRunDependencies,
} from '../gateway/slot_run.js';
import type {ContentGuard} from '../quarantine/quarantine.js';
import {buildRunSubject} from '../quarantine/run_subject.js';
import {chooseTarget} from '../routing/choose_target.js';
import type {Route} from '../routing/routing_document.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {describeStart} from '../streams/stream_start.js';
import type {BundleItem} from './bundle_types.js';
import {MAX_ITEM_RUN_MS, ITEM_SILENCE_TIMEOUT_MS} from './constants.js';
import {createItemPlacements, type Placement} from './item_placement.js';
import type {BundleOrigin} from './item_route.js';
import {
  clearItemText,
  createItemTextReader,
  type ItemText,
} from './item_text.js';

/** One attempt to run an item. */
export interface ItemTask {
  item: BundleItem;
  account: string;
  origin: BundleOrigin;
  /** Monotonic time by which its result is due. */
  dueAt: number;
  /** Text that earlier runs received; this run adds to it. */
  text: ItemText;
  /** Attempts so far, including this one. */
  attempts: number;
  /** Endpoints at which the item failed. */
  avoid: readonly string[];
  /** Whether its result is overdue and the last attempt got no slot. */
  isStuck?: boolean;
  /** Called when this run has added an event. */
  onFirstEvent?: () => void;
}

/** How one attempt ended. */
export type ItemOutcome =
  | {kind: 'complete'}
  /** The endpoint responded that the item can never be run. */
  | {kind: 'poison'}
  /** The endpoint ran the item and failed. */
  | {kind: 'failed'; endpoint: string}
  /**
   * The run was stopped, or cut off at `endpoint`; the next one resumes the stream.
   * `events` counts those that this run added.
   */
  | {kind: 'interrupted'; reason: string; endpoint?: string; events?: number}
  /** No slot was available; to be retried after `retryAfterMs`. */
  | {kind: 'no-slot'; retryAfterMs: number}
  /** It needs more memory than any endpoint of the service has. */
  | {kind: 'too-large'}
  /** The current configuration has no route for it. */
  | {kind: 'no-route'};

/** Whether the run was cut off at an endpoint that had sent no event. */
export function isFruitless(outcome: ItemOutcome): boolean {
  const {kind} = outcome;
  return kind === 'interrupted' && !!outcome.endpoint && !outcome.events;
}

/**
 * Counts the tokens that an item holds until its end. What earlier runs received is a
 * part of the response, and more than the whole if the stated maximum was too low.
 */
function countItemTokens(item: BundleItem, received: number): number {
  const {promptTokens, answerTokens, tokens} = item;
  return Math.max(tokens, promptTokens + Math.max(answerTokens, received));
}

/** Runs items. */
export interface ItemRunner {
  run(task: ItemTask, signal: AbortSignal): Promise<ItemOutcome>;
}

export interface ItemRunnerDependencies extends SlotRunDependencies {
  clock: Clock;
  log: Log;
  routing: RoutingTable;
  dispatch: Pick<
    FleetDispatch,
    'acquireSlot' | 'listVersions' | 'listPoolNames'
  >;
  /**
   * Items do not crash endpoints by themselves, so that they are not quarantined and
   * their losses are no evidence. Their answers are: they clear parts of prompts.
   */
  quarantine: Pick<ContentGuard, 'noteAnswered'>;
  getIncarnation: () => string;
}

const OK = 200;

/**
 * Minimum time from now to the deadline that the dispatcher receives for an
 * item, in ms. An overdue item goes first, and must still have time for a run.
 */
const MIN_TIME_TO_DEADLINE_MS = 10_000;

export function createItemRunner(
  dependencies: ItemRunnerDependencies,
): ItemRunner {
  const {clock, log, routing, dispatch, protocol, quarantine, getIncarnation} =
    dependencies;
  const workEstimator = createItemWork();
  const placements = createItemPlacements(routing);

  /**
   * Creates a signal that aborts a run when the item is stopped, when its slot
   * has to be yielded, or after the maximum duration of a run.
   */
  function createRunSignal(signal: AbortSignal, yieldSignal: AbortSignal) {
    const controller = new AbortController();
    const abort = () =>
      controller.abort(new Error('the run of the item was stopped'));
    if (signal.aborted || yieldSignal.aborted) abort();
    signal.addEventListener('abort', abort, {once: true});
    yieldSignal.addEventListener('abort', abort, {once: true});
    const cancelTimer = clock.schedule(MAX_ITEM_RUN_MS, abort);
    return {
      signal: controller.signal,
      close() {
        cancelTimer();
        signal.removeEventListener('abort', abort);
        yieldSignal.removeEventListener('abort', abort);
      },
    };
  }

  /**
   * Clears a text that no endpoint may go on with: its version takes no new work any
   * more, or its route leads to another service. Nobody has read it yet, so that the item
   * can start again.
   */
  function clearIfStranded({item, text, isStuck}: ItemTask, route: Route) {
    const {start} = text;
    if (!start) return;
    const {service, version} = start;
    const versions = dispatch.listVersions(service);
    const isServed =
      version === undefined ||
      dispatch.listPoolNames(service).length === 0 ||
      versions.has(version);
    // The endpoints of its version may be listed and take no work, for example because
    // they are failing, while those of another one are free.
    const mayGoOn = isServed && !(isStuck && versions.size > 1);
    if (chooseTarget(route, item.id) === service && mayGoOn) return;
    log.info(
      {item: item.id, ...start, events: text.pieces.length},
      'item starts again: no endpoint of its version takes work',
    );
    clearItemText(text);
  }

  async function acquireSlot(
    task: ItemTask,
    route: Route,
    placement: Placement,
    signal: AbortSignal,
  ) {
    const {item, account, attempts, dueAt, avoid, text} = task;
    return dispatch.acquireSlot({
      requestId: `${item.id}.${attempts}.${getIncarnation().slice(-6)}`,
      ...placement,
      account,
      weight: routing.findWeight(route, routing.findAccount(account)),
      workClass: 'batch',
      model: '',
      deadline: Math.max(dueAt, clock.now() + MIN_TIME_TO_DEADLINE_MS),
      dueAt,
      workMs: workEstimator.estimateRemaining(text.pieces.length),
      maxFactor: workEstimator.estimateMaxFactor(route.pauseTargetMs),
      promptTokens: item.promptTokens,
      answerTokens: item.answerTokens,
      memoryTokens: countItemTokens(item, text.pieces.length),
      prefixHashes: [],
      avoid,
      version: text.start?.version,
      signal,
    });
  }

  function buildRequest({item, account}: ItemTask, {host}: Route) {
    return {
      id: item.id,
      method: 'POST',
      target: item.target,
      host,
      headers: item.headers,
      body: Buffer.from(item.body, 'base64'),
      account,
    };
  }

  /**
   * Checks the route again, which may have changed while the item waited for its slot,
   * and releases the slot if the item may not run on it. Returns the outcome in that
   * case.
   */
  function checkStillPlaced(
    slot: Slot,
    task: ItemTask,
    placement: Placement,
  ): ItemOutcome | undefined {
    if (placements.isCurrent(task, placement)) return undefined;
    slot.release({kind: 'cancelled', tokens: 0});
    return placements.findRoute(task)
      ? {kind: 'no-slot', retryAfterMs: 0}
      : {kind: 'no-route'};
  }

  function noteAnswered(
    {item}: ItemTask,
    request: ReturnType<typeof buildRequest>,
    {kind}: ItemOutcome,
  ) {
    const parts = protocol.listSharedParts(item.headers);
    const subject = buildRunSubject(computeContentId(request), parts);
    quarantine.noteAnswered(subject, kind === 'complete');
  }

  async function runItem(
    task: ItemTask,
    route: Route,
    signal: AbortSignal,
  ): Promise<ItemOutcome> {
    const request = buildRequest(task, route);
    clearIfStranded(task, route);
    const placement = placements.build(task, route);
    const slot = await placements.runWhileCurrent(
      task,
      placement,
      signal,
      waitSignal => acquireSlot(task, route, placement, waitSignal),
    );
    const refused = checkStillPlaced(slot, task, placement);
    if (refused) return refused;
    const {text} = task;
    const runSignal = createRunSignal(signal, slot.yieldSignal);
    const reader = createItemTextReader(text);
    const piecesBefore = text.pieces.length;
    const startedAt = clock.now();
    let hadEvent = false;
    const ended = await runOnSlot(
      dependencies,
      slot,
      {
        ...request,
        remainingMs: MAX_ITEM_RUN_MS,
        resumeAfter: text.lastId,
        silenceMs: ITEM_SILENCE_TIMEOUT_MS,
        isReadInTicks: true,
      },
      buildListener(reader.countEvents, chunk => {
        reader.push(chunk);
        noteStart(text, slot);
        if (hadEvent || text.pieces.length === piecesBefore) return;
        hadEvent = true;
        task.onFirstEvent?.();
      }),
      runSignal.signal,
    );
    runSignal.close();
    // The reader clears a text that grows too large.
    const newPieces = Math.max(0, text.pieces.length - piecesBefore);
    workEstimator.noteRun(newPieces, clock.now() - startedAt);
    const outcome = decideOutcome(
      ended,
      reader.hasPartialEvent(),
      slot.endpoint.address,
    );
    if (outcome.kind === 'interrupted') return {...outcome, events: newPieces};
    if (ended.kind === 'answered') noteAnswered(task, request, outcome);
    if (outcome.kind === 'complete')
      workEstimator.noteComplete(text.pieces.length);
    return outcome;
  }

  function decideOutcome(
    ended: RunEnd,
    isCutShort: boolean,
    endpoint: string,
  ): ItemOutcome {
    if (ended.kind === 'stopped')
      return {kind: 'interrupted', reason: 'stopped'};
    if (ended.kind !== 'answered') {
      return {kind: 'interrupted', reason: ended.reason, endpoint};
    }
    if (protocol.isPoison(ended.status)) return {kind: 'poison'};
    if (ended.status !== OK) {
      if (ended.status >= 500) return {kind: 'failed', endpoint};
      const reason = `endpoint responded with status ${ended.status}`;
      return {kind: 'interrupted', reason, endpoint};
    }
    if (!isCutShort) return {kind: 'complete'};
    return {
      kind: 'interrupted',
      reason: 'stream ended within an event',
      endpoint,
    };
  }

  return {
    async run(task, signal) {
      const route = placements.findRoute(task);
      if (!route) return {kind: 'no-route'};
      try {
        return await runItem(task, route, signal);
      } catch (thrown) {
        if (!(thrown instanceof RouterError)) throw thrown;
        const {code, retryAfterMs = 0} = thrown;
        if (code === 'cancelled') return {kind: 'interrupted', reason: code};
        if (code === 'exceeds_memory') return {kind: 'too-large'};
        return {kind: 'no-slot', retryAfterMs};
      }
    },
  };
}

/** Notes where a text began, once it has an event. */
function noteStart(text: ItemText, {endpoint}: Slot) {
  if (text.start || text.pieces.length === 0) return;
  text.start = describeStart(endpoint);
}

function buildListener(
  countEvents: () => number,
  push: (chunk: Buffer) => void,
): RunListener {
  return {
    countEvents,
    onAnswer: status => (status === OK ? 'take' : 'discard'),
    onData(chunk) {
      push(chunk);
      return true;
    },
  };
}
