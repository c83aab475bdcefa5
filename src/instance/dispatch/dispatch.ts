/**
 * Interface of dispatch, which decides on which endpoint a request runs and
 * when. A slot is the permission to run one request on one endpoint; it is
 * released when the request ends.
 */
import type {
  SchedulerOutcome,
  StatedLoad,
  WorkClass,
} from '../../decisions/scheduler_types.js';
import type {WarmUp} from '../../decisions/warm_up.js';
import type {ListedInstance} from '../../stores/instance_list.js';

export type {WorkClass} from '../../decisions/scheduler_types.js';

/** Properties of a request by which a dispatcher places it. */
export interface SlotRequest {
  requestId: string;
  service: string;
  account: string;
  /** Share of a contended pool relative to other accounts. */
  weight: number;
  workClass: WorkClass;
  model: string;
  /** Monotonic time after which the response is of no use. */
  deadline: number;
  /** Monotonic time by which the first byte should arrive. */
  targetAt?: number;
  /** Monotonic time by which the request must have a slot. */
  startBy?: number;
  /** Monotonic time by which a batch item's result is due. */
  dueAt?: number;
  /** Remaining time that a batch item needs on an endpoint. */
  workMs?: number;
  /** Factor on the usual duration of work that a batch item tolerates. */
  maxFactor?: number;
  /** Estimated sizes of the prompt and of the response, in tokens. */
  promptTokens: number;
  answerTokens: number;
  /** Most tokens that it may hold in an endpoint's memory; absent if unknown. */
  memoryTokens?: number;
  /** Digests of the prompt's leading blocks, shortest prefix first. */
  prefixHashes: readonly string[];
  /** Endpoints on which this request failed before. */
  avoid: readonly string[];
  /**
   * Version of the endpoints' software that it needs, as it goes on with a stream that
   * began there; absent if any will do.
   */
  version?: string;
  /** Regions that it must not leave; absent if it may run in any. */
  regions?: readonly string[];
  /** Ends the wait when the caller disconnects. */
  signal: AbortSignal;
}

/** The configured services, as far as dispatch needs them. */
export interface ServiceCatalog {
  /** Requests that one endpoint runs at once; undefined if unknown. */
  findConcurrency(service: string): number | undefined;
  /** How a service's endpoints warm up; undefined if any rate is tolerated. */
  findWarmUp(service: string): WarmUp | undefined;
  /** Memory of one endpoint, in tokens; undefined if it is unknown. */
  findMemoryTokens(service: string): number | undefined;
  listServices(): string[];
}

/** Outcome of the request on a slot, as seen by the instance that sent it. */
export type SlotOutcome = SchedulerOutcome;

/**
 * Who granted a slot: this instance as dispatcher, a dispatcher on another
 * instance, or this instance from its own share without a dispatcher.
 */
export type SlotWay = 'own' | 'remote' | 'alone';

/** Permission to run one request on one endpoint. */
export interface Slot {
  endpoint: ListedInstance;
  /** Name of the pool that granted it. */
  pool: string;
  way: SlotWay;
  /** Aborted when the dispatcher wants a batch item to yield to other work. */
  yieldSignal: AbortSignal;
  /**
   * Notifies the dispatcher early; called once when the first byte arrives, with
   * the load that the head of the response stated.
   */
  noteFirstByte?(firstByteMs: number, load?: StatedLoad): void;
  /** Called once, when the request has ended on the endpoint. */
  release(outcome: SlotOutcome): void;
}

/** Grants slots to requests of this instance. */
export interface Dispatch {
  /** Throws RouterError (not-run) when no slot is granted in time. */
  acquireSlot(request: SlotRequest): Promise<Slot>;
}
