/** Runs one item: a slot that online work leaves free, a run, what came of it. */
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import {computeContentId} from '../../common/ids.js';
import {createItemWork} from '../../decisions/item_work.js';
import type {Dispatch, Slot} from '../dispatch/dispatch.js';
import {
  runOnSlot,
  type RunEnd,
  type RunListener,
  type SlotRunDependencies,
} from '../gateway/slot_run.js';
import type {ContentGuard} from '../quarantine/quarantine.js';
import {chooseTarget} from '../routing/choose_target.js';
import type {Route} from '../routing/routing_document.js';
import type {RoutingTable} from '../routing/routing_table.js';
import type {BundleItem} from './bundle_types.js';
import {ITEM_RUN_MS, ITEM_SILENCE_MS} from './constants.js';
import {createItemTextReader, type ItemText} from './item_text.js';

/** An item that is to be run. */
export interface ItemTask {
  item: BundleItem;
  account: string;
  route: string;
  /** Monotonic time by which its result is due. */
  dueAt: number;
  /** What earlier runs brought; this one adds to it. */
  text: ItemText;
  /** Tries so far, this one included. */
  tries: number;
  /** Endpoints that failed it. */
  avoid: readonly string[];
}

/** How one try ended. */
export type ItemOutcome =
  | {kind: 'complete'}
  /** The endpoint says that it can never be done. */
  | {kind: 'poison'}
  /** The endpoint ran it and failed. */
  | {kind: 'failed'; endpoint: string}
  /** Stopped or cut off: it goes on where it was. */
  | {kind: 'interrupted'; reason: string; endpoint?: string}
  /** No slot; to be tried again after `retryAfterMs`. */
  | {kind: 'no-slot'; retryAfterMs: number}
  /** Endpoints end under it; it may be sent after `retryAfterMs`. */
  | {kind: 'held'; retryAfterMs: number}
  /** Its route is not there any more. */
  | {kind: 'no-route'};

/** Runs items. */
export interface ItemRunner {
  run(task: ItemTask, signal: AbortSignal): Promise<ItemOutcome>;
}

/** What the runner works with. */
export interface ItemRunnerDependencies extends SlotRunDependencies {
  clock: Clock;
  routing: RoutingTable;
  dispatch: Dispatch;
  quarantine: ContentGuard;
  getIncarnation: () => string;
}

const OK = 200;

/**
 * Least time before its due time that an item is said to be due, in ms: one
 * that is overdue goes first, and still has time for a run.
 */
const OVERDUE_PATIENCE_MS = 10_000;

/** Starts idle. */
export function createItemRunner(
  dependencies: ItemRunnerDependencies,
): ItemRunner {
  const {clock, routing, dispatch, protocol, quarantine, getIncarnation} =
    dependencies;
  const work = createItemWork();

  /** Ends a run when the item is stopped or its slot is wanted. */
  function createRunEnd(signal: AbortSignal, yieldSignal: AbortSignal) {
    const controller = new AbortController();
    const abort = () => controller.abort(new Error('the item was stopped'));
    if (signal.aborted || yieldSignal.aborted) abort();
    signal.addEventListener('abort', abort, {once: true});
    yieldSignal.addEventListener('abort', abort, {once: true});
    const cancelTimer = clock.schedule(ITEM_RUN_MS, abort);
    return {
      signal: controller.signal,
      close() {
        cancelTimer();
        signal.removeEventListener('abort', abort);
        yieldSignal.removeEventListener('abort', abort);
      },
    };
  }

  async function acquireSlot(
    task: ItemTask,
    route: Route,
    signal: AbortSignal,
  ) {
    const {item, account, tries, dueAt, avoid, text} = task;
    return dispatch.acquireSlot({
      requestId: `${item.id}.${tries}.${getIncarnation().slice(-6)}`,
      service: chooseTarget(route, item.id),
      account,
      weight: 1,
      workClass: 'batch',
      model: '',
      deadline: Math.max(dueAt, clock.now() + OVERDUE_PATIENCE_MS),
      dueAt,
      workMs: work.estimateRest(text.pieces.length),
      promptTokens: item.promptTokens,
      answerTokens: item.answerTokens,
      prefixHashes: [],
      avoid,
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

  /** Route and content as they are now: it may have waited for its slot. */
  function checkStillAllowed(slot: Slot, {route}: ItemTask, content: string) {
    const isRouted = routing.findRouteByName(route) !== undefined;
    try {
      quarantine.checkHeld(content);
    } catch (error) {
      slot.release({kind: 'cancelled', tokens: 0});
      throw error;
    }
    if (!isRouted) slot.release({kind: 'cancelled', tokens: 0});
    return isRouted;
  }

  function noteEnd(
    {item}: ItemTask,
    content: string,
    ended: RunEnd,
    outcome: ItemOutcome,
  ) {
    if (ended.kind === 'broken' && ended.loss) {
      void quarantine.noteLoss({requestId: item.id, content, ...ended.loss});
    }
    if (ended.kind === 'answered' && outcome.kind !== 'interrupted') {
      quarantine.noteAnswered(content);
    }
  }

  async function runItem(
    task: ItemTask,
    route: Route,
    signal: AbortSignal,
  ): Promise<ItemOutcome> {
    const request = buildRequest(task, route);
    const content = computeContentId(request);
    quarantine.checkHeld(content);
    const slot = await acquireSlot(task, route, signal);
    if (!checkStillAllowed(slot, task, content)) return {kind: 'no-route'};
    const {text} = task;
    const end = createRunEnd(signal, slot.yieldSignal);
    const reader = createItemTextReader(text);
    const piecesBefore = text.pieces.length;
    const startedAt = clock.now();
    const ended = await runOnSlot(
      dependencies,
      slot,
      {
        ...request,
        remainingMs: ITEM_RUN_MS,
        resumeAfter: text.lastId,
        silenceMs: ITEM_SILENCE_MS,
      },
      buildListener(reader.push),
      end.signal,
    );
    end.close();
    const gained = text.pieces.length - piecesBefore;
    work.noteRun(gained, clock.now() - startedAt);
    const outcome = decideOutcome(
      ended,
      reader.hasRest(),
      slot.endpoint.address,
    );
    noteEnd(task, content, ended, outcome);
    if (outcome.kind === 'complete') work.noteWhole(text.pieces.length);
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
      const reason = `answered with ${ended.status}`;
      return {kind: 'interrupted', reason, endpoint};
    }
    if (!isCutShort) return {kind: 'complete'};
    return {kind: 'interrupted', reason: 'cut short', endpoint};
  }

  return {
    async run(task, signal) {
      const route = routing.findRouteByName(task.route);
      if (!route) return {kind: 'no-route'};
      try {
        return await runItem(task, route, signal);
      } catch (thrown) {
        if (!(thrown instanceof RouterError)) throw thrown;
        const {code, retryAfterMs = 0} = thrown;
        if (code === 'cancelled') return {kind: 'interrupted', reason: code};
        if (code === 'quarantined') return {kind: 'held', retryAfterMs};
        return {kind: 'no-slot', retryAfterMs};
      }
    },
  };
}

function buildListener(push: (chunk: Buffer) => void): RunListener {
  return {
    onAnswer: status => (status === OK ? 'take' : 'discard'),
    onData(chunk) {
      push(chunk);
      return true;
    },
  };
}
