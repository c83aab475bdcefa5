/**
 * Which endpoint a request runs on, and when. A slot is the leave to have one
 * request running on one endpoint; it is given back when the request ends.
 */
import type {
  SchedulerOutcome,
  WorkClass,
} from '../../decisions/scheduler_types.js';
import type {ListedInstance} from '../../stores/instance_list.js';

export type {WorkClass} from '../../decisions/scheduler_types.js';

/** What a dispatcher needs to know of a request. */
export interface SlotRequest {
  requestId: string;
  service: string;
  account: string;
  /** Share of a contended pool relative to other accounts. */
  weight: number;
  workClass: WorkClass;
  model: string;
  /** Monotonic time after which the answer is of no use. */
  deadline: number;
  /** Monotonic time by which the first byte should come. */
  targetAt?: number;
  /** Monotonic time by which it must have a slot. */
  startBy?: number;
  /** Monotonic time by which a batch item's result is due. */
  dueAt?: number;
  /** How long a batch item still takes on an endpoint. */
  workMs?: number;
  /** Rough size of the prompt and of the answer, in tokens. */
  promptTokens: number;
  answerTokens: number;
  /** Digests of the prompt's leading blocks, shortest prefix first. */
  prefixHashes: readonly string[];
  /** Endpoints that failed this request before. */
  avoid: readonly string[];
  /** Ends the wait when the caller is gone. */
  signal: AbortSignal;
}

/** The services that dispatch knows. */
export interface ServiceCatalog {
  /** Requests one endpoint runs at once; undefined for an unknown service. */
  findConcurrency(service: string): number | undefined;
  listServices(): string[];
}

/** How the request on a slot went, as seen by the instance that sent it. */
export type SlotOutcome = SchedulerOutcome;

/** Who granted a slot: this instance, another one, or nobody but its share. */
export type SlotWay = 'own' | 'remote' | 'alone';

/** Leave to run one request on one endpoint. */
export interface Slot {
  endpoint: ListedInstance;
  way: SlotWay;
  /** Aborted when the dispatcher wants a batch item to make way. */
  yieldSignal: AbortSignal;
  /** Told once when the first byte came, so that its decider learns early. */
  noteFirstByte?(firstByteMs: number): void;
  /** Called once, when the request has ended there. */
  release(outcome: SlotOutcome): void;
}

/** Gives out slots. */
export interface Dispatch {
  /** Throws RouterError with verdict not-run when no slot can be had in time. */
  acquireSlot(request: SlotRequest): Promise<Slot>;
}
