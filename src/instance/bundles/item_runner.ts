/** Runs one item: a slot that online work leaves free, a run, what came of it. */
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import {computeContentId} from '../../common/ids.js';
import {createItemWork} from '../../decisions/item_work.js';
import type {Dispatch} from '../dispatch/dispatch.js';
import {
  runOnSlot,
  type RunEnd,
  type RunListener,
  type SlotRunDependencies,
} from '../gateway/slot_run.js';
import type {CrashWatch} from '../quarantine/crash_watch.js';
import {chooseTarget} from '../routing/choose_target.js';
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
  crashes: CrashWatch;
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
  const {clock, routing, dispatch, protocol, crashes, getIncarnation} =
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

  async function acquireSlot(task: ItemTask, signal: AbortSignal) {
    const {item, account, tries, dueAt, avoid, text} = task;
    const route = routing.findRouteByName(task.route)!;
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

  async function runItem(
    task: ItemTask,
    signal: AbortSignal,
  ): Promise<ItemOutcome> {
    const slot = await acquireSlot(task, signal);
    const route = routing.findRouteByName(task.route);
    if (!route) {
      slot.release({kind: 'cancelled', tokens: 0});
      return {kind: 'no-route'};
    }
    const {item, account, text} = task;
    const end = createRunEnd(signal, slot.yieldSignal);
    const reader = createItemTextReader(text);
    const piecesBefore = text.pieces.length;
    const startedAt = clock.now();
    const request = {
      id: item.id,
      method: 'POST',
      target: item.target,
      host: route.host,
      headers: item.headers,
      body: Buffer.from(item.body, 'base64'),
      account,
    };
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
    if (ended.kind === 'broken' && ended.loss) {
      const content = computeContentId(request);
      void crashes.noteLoss({requestId: item.id, content, ...ended.loss});
    }
    const gained = text.pieces.length - piecesBefore;
    work.noteRun(gained, clock.now() - startedAt);
    const outcome = decideOutcome(
      ended,
      reader.hasRest(),
      slot.endpoint.address,
    );
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
      if (!routing.findRouteByName(task.route)) return {kind: 'no-route'};
      try {
        return await runItem(task, signal);
      } catch (thrown) {
        if (!(thrown instanceof RouterError)) throw thrown;
        const {code, retryAfterMs = 0} = thrown;
        if (code === 'cancelled') return {kind: 'interrupted', reason: code};
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
