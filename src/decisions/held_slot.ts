/** A slot of an endpoint while a request holds it, with what was predicted. */
import type {ScheduledRequest} from './scheduler_types.js';

/** A request that holds a slot. */
export interface HeldSlot {
  request: ScheduledRequest;
  grantedAt: number;
  /** Estimated end of its prefill. */
  prefillEndsAt: number;
  /** Estimated prompt tokens that were not cached. */
  uncachedTokens: number;
  /** Estimated time it waited behind other prefills. */
  backlogMs: number;
  predictedFirstByteMs: number;
  /** Factor that the prediction contains. */
  factor: number;
  /** Part of the factor that is the reported pace; undefined if unknown. */
  pace?: number;
  /** Number of requests running there when it was granted. */
  running: number;
  /** When it was ordered to yield. */
  yieldedAt?: number;
  hasFirstByte: boolean;
  /** Whether the endpoint was cold, so that its slowness means nothing. */
  wasCold: boolean;
}
