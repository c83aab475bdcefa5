/** What a pool's scheduler is told and what it answers. Times in ms. */

/** Online requests go before batch items in every queue. */
export type WorkClass = 'online' | 'batch';

/** A request that asks for a slot. */
export interface ScheduledRequest {
  id: string;
  account: string;
  /** Share of a contended pool relative to other accounts. */
  weight: number;
  workClass: WorkClass;
  /** Time after which its answer is of no use. */
  deadline: number;
  /** Time by which its first byte should come; absent: no sooner than later. */
  targetAt?: number;
  /** Time by which it must have a slot: then its caller is told to come back. */
  startBy?: number;
  /** Time by which a batch item's result is due; absent: its deadline. */
  dueAt?: number;
  /** How long a batch item still takes on an endpoint; absent: not known. */
  workMs?: number;
  /** Rough sizes of prompt and answer, in tokens. */
  promptTokens: number;
  answerTokens: number;
  /** Digests of the prompt's leading blocks, shortest prefix first. */
  prefixHashes: readonly string[];
  /** Endpoints that failed this request before. */
  avoid: readonly string[];
}

/** Limits of the service document in force. */
export interface PoolLimits {
  /** Requests one endpoint runs at once, at the most. */
  maxConcurrency: number;
}

/** An endpoint that takes new work. */
export interface EndpointDescription {
  address: string;
  failureDomain: string;
  /** Requests it runs at once, where it says so itself. */
  slots?: number;
}

/** An endpoint's own report; `at` is its age-corrected time of measurement. */
export interface LoadReport {
  at: number;
  running: number;
  waiting: number;
  /** Share of the KV cache in use, 0 to 1. */
  cacheUsage: number;
}

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
    /** The endpoint said that it did not run it. */
    | 'refused'
    | 'silent'
    | 'cancelled'
    | 'yielded';
  /** Time from sending to the first byte, when there was one. */
  firstByteMs?: number;
  /** Time from sending to the end. */
  totalMs?: number;
  /** Tokens received. */
  tokens: number;
}

/** Why a request was not given a slot. */
export type RefusalReason = 'deadline' | 'overloaded' | 'no-endpoint';

/** What the dispatcher must do. */
export type SchedulerAction =
  | {kind: 'grant'; requestId: string; endpoint: string}
  | {
      kind: 'refuse';
      requestId: string;
      reason: RefusalReason;
      retryAfterMs: number;
    }
  /** A running batch item must make way at once; it will be released. */
  | {kind: 'yield'; requestId: string};
