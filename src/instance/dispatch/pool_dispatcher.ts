/**
 * The dispatcher's side of one pool. It connects the pool's scheduler to the
 * holders that wait for slots and to those that have slots.
 */
import type {Clock} from '../../common/clock.js';
import type {ShareSummary} from '../../decisions/account_shares.js';
import type {LatencySnapshot} from '../../decisions/latency_model.js';
import type {PoolScheduler} from '../../decisions/pool_scheduler.js';
import type {
  CacheEvent,
  EndpointDescription,
  LoadReport,
  PoolLimits,
  RefusalReason,
  ScheduledRequest,
  SchedulerAction,
  SchedulerOutcome,
} from '../../decisions/scheduler_types.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {
  DECIDE_INTERVAL_MS,
  HOLDER_SILENCE_MS,
  REPORT_GUARD_MS,
  UNREPORTED_SLOT_MS,
} from './constants.js';
import type {WireLoad} from './dispatch_schemas.js';
import type {PaceObserver} from './load_metrics.js';

/** The final response to a request for a slot. */
export type SlotAnswer =
  | {
      kind: 'granted';
      endpoint: string;
      /** The dispatcher's list entry, if the dispatcher is remote. */
      listed?: ListedInstance;
    }
  | {kind: 'refused'; reason: RefusalReason; retryAfterMs: number}
  /** This dispatcher stops; the holder asks the one that ranks first now. */
  | {kind: 'moved'};

/** A slot as its holder reports it. */
export interface ReportedSlot {
  request: ScheduledRequest;
  endpoint: string;
}

/** What the peers reported to a new dispatcher about its pool. */
export interface GatheredPool {
  slots: readonly {holder: string; slots: readonly ReportedSlot[]}[];
  latency?: LatencySnapshot;
}

/** Notifies a holder that batch items must yield their slots. */
export type YieldNotifier = (holder: string, requestIds: string[]) => void;

/** One pool as its dispatcher runs it. `holder` is a holder's peer address. */
export interface PoolDispatcher {
  /** Resolves with the decision; a repeated call gets the same one. */
  submit(request: ScheduledRequest, holder: string): Promise<SlotAnswer>;
  /** Drops a waiting request, or releases the slot of a granted one. */
  release(requestId: string, outcome: SchedulerOutcome): void;
  /**
   * Applies a complete list of the slots that `holder` holds in this pool.
   * Slots granted by another dispatcher are adopted, and slots that the holder
   * no longer holds are freed.
   */
  receiveReport(holder: string, slots: readonly ReportedSlot[]): void;
  /** Frees slots that no holder reports, because the grant was lost. */
  expireSlots(): void;
  /**
   * Drops all requests and slots of holders that are neither live nor heard from. One
   * that was told to stop is not live any more, but completes its requests.
   */
  removeSilentHolders(live: ReadonlySet<string>): void;
  /** Holders with waiting requests or slots. */
  listHolders(): Set<string>;
  /**
   * Delays new requests until `gathered` resolves, and then adopts its slots.
   * Otherwise a dispatcher that has just taken over would grant slots that are
   * already in use.
   */
  delayUntil(gathered: Promise<GatheredPool>): void;
  /**
   * The latency learned for the pool so far; with `endpoint`, only with the
   * learned speed of this endpoint.
   */
  exportLatency(endpoint?: string): LatencySnapshot | undefined;
  refresh(endpoints: readonly EndpointDescription[], limits: PoolLimits): void;
  /** Answers all waiting requests, so that their holders ask elsewhere. */
  endWaits(answer: SlotAnswer): void;
  /** Counts the requests that began to wait for memory since the last call. */
  takeMemoryWaits(): number;
  /** Numbers of waiting requests and of held slots. */
  count(): {waiting: number; held: number};
  /** Takes an endpoint's own load report, which lags behind. */
  noteLoad(endpoint: string, report: LoadReport): void;
  /** Takes a cache change of an endpoint; events arrive late and with gaps. */
  noteCacheEvent(endpoint: string, event: CacheEvent): void;
  /** Records a granted request's first byte, and the load that came with it. */
  noteFirstByte(requestId: string, firstByteMs: number, load?: WireLoad): void;
  /** How evenly accounts were served lately. */
  summarizeShares(): ShareSummary;
  /** Counts and scheduler state, for state dumps. */
  describe(): object;
  /** Time at which a holder last requested or reported slots. */
  usedAt(): number;
  isIdle(): boolean;
  stop(): void;
}

interface WaitingEntry {
  holder: string;
  answer: Promise<SlotAnswer>;
  settle: (answer: SlotAnswer) => void;
}

interface HeldEntry {
  holder: string;
  endpoint: string;
  seenAt: number;
}

type ActionHandlers = {
  [Kind in SchedulerAction['kind']]: (
    action: Extract<SchedulerAction, {kind: Kind}>,
  ) => void;
};

/** Creates a dispatcher without requests. `notifyYield` must not throw. */
export function createPoolDispatcher(
  clock: Clock,
  scheduler: PoolScheduler,
  notifyYield: YieldNotifier,
  observePace: PaceObserver = () => {},
): PoolDispatcher {
  const waiting = new Map<string, WaitingEntry>();
  const held = new Map<string, HeldEntry>();
  /** When each holder last requested or reported slots. */
  const heardAt = new Map<string, number>();
  let usedAt = clock.now();
  let cancelTimer: (() => void) | undefined;
  /** Requests that came while it asks which slots are held; undefined after that. */
  let delayed: ScheduledRequest[] | undefined;
  let isStopped = false;

  const handlers: ActionHandlers = {
    grant({requestId, endpoint}) {
      const entry = waiting.get(requestId);
      if (!entry) {
        runActions(scheduler.release(requestId, CANCELLED, clock.now()));
        return;
      }
      waiting.delete(requestId);
      held.set(requestId, {
        holder: entry.holder,
        endpoint,
        seenAt: clock.now(),
      });
      entry.settle({kind: 'granted', endpoint});
    },
    refuse({requestId, reason, retryAfterMs}) {
      waiting.get(requestId)?.settle({kind: 'refused', reason, retryAfterMs});
      waiting.delete(requestId);
    },
    yield({requestId}) {
      const entry = held.get(requestId);
      if (entry) notifyYield(entry.holder, [requestId]);
    },
  };

  function runActions(actions: readonly SchedulerAction[]) {
    for (const action of actions) {
      (handlers[action.kind] as (action: SchedulerAction) => void)(action);
    }
    scheduleDecision();
  }

  /** Schedules a decision: time alone can refuse a request or end a probe. */
  function scheduleDecision() {
    if (isStopped || cancelTimer || (waiting.size === 0 && held.size === 0))
      return;
    cancelTimer = clock.schedule(DECIDE_INTERVAL_MS, () => {
      cancelTimer = undefined;
      runActions(scheduler.decide(clock.now()));
    });
  }

  function noteHeard(holder: string) {
    usedAt = clock.now();
    heardAt.set(holder, usedAt);
  }

  function listHolders() {
    const entries = [...waiting.values(), ...held.values()];
    return new Set(entries.map(({holder}) => holder));
  }

  function removeHolder(holder: string) {
    for (const entries of [waiting, held]) {
      for (const [requestId, entry] of entries) {
        if (entry.holder === holder) removeRequest(requestId, UNSEEN);
      }
    }
  }

  function removeRequest(requestId: string, outcome: SchedulerOutcome) {
    const now = clock.now();
    if (held.delete(requestId)) {
      runActions(scheduler.release(requestId, outcome, now));
      return;
    }
    removeWaiting(requestId, DEADLINE_PASSED);
  }

  function removeWaiting(requestId: string, answer: SlotAnswer) {
    const entry = waiting.get(requestId);
    if (!entry) return;
    waiting.delete(requestId);
    entry.settle(answer);
    runActions(scheduler.cancel(requestId, clock.now()));
  }

  function submit(
    request: ScheduledRequest,
    holder: string,
  ): Promise<SlotAnswer> {
    noteHeard(holder);
    if (isStopped) return Promise.resolve({kind: 'moved'});
    const known = waiting.get(request.id);
    if (known) return known.answer;
    const granted = held.get(request.id);
    if (granted) {
      return Promise.resolve({kind: 'granted', endpoint: granted.endpoint});
    }
    const entry = buildWaitingEntry(holder);
    waiting.set(request.id, entry);
    if (delayed) delayed.push(request);
    else runActions(scheduler.submit(request, clock.now()));
    return entry.answer;
  }

  function submitDelayed() {
    const requests = delayed ?? [];
    delayed = undefined;
    for (const request of requests) {
      if (!waiting.has(request.id)) continue;
      runActions(scheduler.submit(request, clock.now()));
    }
  }

  function adoptSlots(holder: string, slots: readonly ReportedSlot[]) {
    const now = clock.now();
    noteHeard(holder);
    for (const {request, endpoint} of slots) {
      if (waiting.has(request.id)) continue;
      if (!held.has(request.id)) scheduler.adopt(request, endpoint, now);
      held.set(request.id, {holder, endpoint, seenAt: now});
    }
  }

  function receiveReport(holder: string, slots: readonly ReportedSlot[]) {
    adoptSlots(holder, slots);
    const reported = new Set(slots.map(({request}) => request.id));
    const before = clock.now() - REPORT_GUARD_MS;
    for (const [requestId, entry] of held) {
      const isFree = entry.holder === holder && !reported.has(requestId);
      if (isFree && entry.seenAt < before) removeRequest(requestId, CANCELLED);
    }
  }

  function count() {
    return {waiting: waiting.size, held: held.size};
  }

  return {
    count,
    noteLoad: (endpoint, report) =>
      scheduler.noteLoad(endpoint, report, clock.now()),
    noteFirstByte(requestId, firstByteMs, load) {
      const now = clock.now();
      const endpoint = held.get(requestId)?.endpoint;
      if (load && endpoint !== undefined) {
        const result = scheduler.noteLoad(endpoint, load, now);
        if (result) observePace(endpoint, load.pace, result);
      }
      scheduler.noteFirstByte(requestId, firstByteMs, now);
    },
    noteCacheEvent: (endpoint, event) =>
      scheduler.noteCacheEvent(endpoint, event, clock.now()),
    summarizeShares: () => scheduler.summarizeShares(clock.now()),
    describe: () => ({...count(), scheduler: scheduler.describe(clock.now())}),
    submit,
    delayUntil(gathered) {
      delayed = [];
      void gathered.then(({slots, latency}) => {
        if (latency) scheduler.importLatency(latency);
        for (const {holder, slots: held} of slots) adoptSlots(holder, held);
        submitDelayed();
      });
    },
    exportLatency: endpoint => scheduler.exportLatency(endpoint),
    takeMemoryWaits: () => scheduler.takeMemoryWaits(),
    release: removeRequest,
    receiveReport,
    expireSlots() {
      const before = clock.now() - UNREPORTED_SLOT_MS;
      for (const [requestId, {seenAt}] of held) {
        if (seenAt < before) removeRequest(requestId, CANCELLED);
      }
    },
    removeSilentHolders(live) {
      const before = clock.now() - HOLDER_SILENCE_MS;
      for (const [holder, at] of heardAt) {
        if (live.has(holder) || at >= before) continue;
        heardAt.delete(holder);
        removeHolder(holder);
      }
    },
    listHolders,
    refresh(endpoints, limits) {
      const now = clock.now();
      runActions(scheduler.setLimits(limits, now));
      runActions(scheduler.setEndpoints(endpoints, now));
    },
    endWaits(answer) {
      for (const requestId of waiting.keys()) removeWaiting(requestId, answer);
    },
    usedAt: () => usedAt,
    isIdle: () => waiting.size === 0 && held.size === 0,
    stop() {
      isStopped = true;
      cancelTimer?.();
      for (const [requestId, entry] of waiting) {
        waiting.delete(requestId);
        entry.settle({kind: 'moved'});
      }
    },
  };
}

const CANCELLED: SchedulerOutcome = {kind: 'cancelled', tokens: 0};
const DEADLINE_PASSED: SlotAnswer = {
  kind: 'refused',
  reason: 'deadline',
  retryAfterMs: 0,
};
const UNSEEN: SchedulerOutcome = {...CANCELLED, isUnseen: true};

function buildWaitingEntry(holder: string): WaitingEntry {
  let settle: WaitingEntry['settle'] = () => {};
  const answer = new Promise<SlotAnswer>(resolve => {
    settle = resolve;
  });
  return {holder, answer, settle};
}
