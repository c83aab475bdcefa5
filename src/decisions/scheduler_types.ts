/** Inputs and outputs of a pool's scheduler. Times are in ms. */

import type {MemoryLimit} from './engine_memory.js';
import type {WarmUp} from './warm_up.js';

/** Online requests have priority over batch items in every queue. */
export type WorkClass = 'online' | 'batch';

/** A request that asks for a slot. */
export interface ScheduledRequest {
  id: string;
  account: string;
  /** Share of a contended pool relative to other accounts. */
  weight: number;
  workClass: WorkClass;
  /** Time after which its answer is of no use to the caller. */
  deadline: number;
  /** Time by which its first byte should come; absent: as soon as possible. */
  targetAt?: number;
  /**
   * Time by which it must have a slot; otherwise its caller must retry later.
   */
  startBy?: number;
  /** Time by which a batch item's result is due; defaults to `deadline`. */
  dueAt?: number;
  /** Remaining run time of a batch item on an endpoint; absent if unknown. */
  workMs?: number;
  /**
   * Factor on the usual duration of work beyond which a batch item would miss
   * its target for the pause between events; absent if there is none.
   */
  maxFactor?: number;
  /** Estimated sizes of prompt and answer, in tokens. */
  promptTokens: number;
  answerTokens: number;
  /**
   * Most tokens that it may hold in an endpoint's memory; absent if that is the sum
   * of the two estimates.
   */
  memoryTokens?: number;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  prefixHashes: readonly string[];
  /** Endpoints that already failed this request. */
  avoid: readonly string[];
  /**
   * Version of the endpoints' software that it needs, as it goes on with a stream that
   * began there; absent if any will do.
   */
  version?: string;
}

/** Limits from the active service document. */
export interface PoolLimits {
  /** Maximum number of requests that one endpoint runs at once. */
  maxConcurrency: number;
  /** How its endpoints warm up; absent if they tolerate any rate when cold. */
  warmUp?: WarmUp;
  /** Memory of its endpoints; absent if it is unknown and not bounded. */
  memory?: MemoryLimit;
}

/** An endpoint that accepts new work. */
export interface EndpointDescription {
  address: string;
  failureDomain: string;
  /** Requests it runs at once, if the endpoint reports this itself. */
  slots?: number;
  /** Version of its software, if it states one. */
  version?: string;
  /** Time until which it is known to be cold. */
  coldUntil?: number;
}

/**
 * An endpoint's own load report; `at` is when it was measured, corrected for
 * age.
 */
export interface LoadReport {
  at: number;
  running: number;
  waiting: number;
  /** Share of the KV cache in use, 0 to 1. */
  cacheUsage: number;
}

/** The load that an endpoint states in the head of a response. */
export interface EndpointLoad {
  running: number;
  waiting: number;
  slots: number;
  /** How long work takes there now; 1 is usual and 2.5 takes 2.5 times as long. */
  pace?: number;
}

/** What the head of a response says of the endpoint's load. */
export type StatedLoad = EndpointLoad | 'unreadable';

/** A change of an endpoint's prefix cache. */
export interface CacheEvent {
  sequence: number;
  kind: 'stored' | 'evicted' | 'cleared';
  prefixHash: string;
}

/** How a granted request ended. */
export interface SchedulerOutcome {
  kind:
    | 'answered'
    | 'failed'
    /** The endpoint reported that it did not run the request. */
    | 'refused'
    /** The endpoint's machine refused the connection: no process listens there. */
    | 'unreachable'
    | 'silent'
    | 'cancelled'
    | 'yielded';
  /** Time from sending to the first byte, if one was received. */
  firstByteMs?: number;
  /** Time from sending to the end of the response. */
  totalMs?: number;
  /** Tokens received. */
  tokens: number;
  /** Whether its holder is no longer seen, so that it may still run. */
  isUnseen?: boolean;
}

/** Why a request was not given a slot. */
export type RefusalReason =
  | 'deadline'
  | 'overloaded'
  | 'no-endpoint'
  /** It needs more memory than any endpoint has, and can never run. */
  | 'too-large';

/** An action that the dispatcher must carry out. */
export type SchedulerAction =
  | {kind: 'grant'; requestId: string; endpoint: string}
  | {
      kind: 'refuse';
      requestId: string;
      reason: RefusalReason;
      retryAfterMs: number;
    }
  /** A running batch item must yield its slot at once; its release follows. */
  | {kind: 'yield'; requestId: string};
