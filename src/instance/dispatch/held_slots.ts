/** The slots that this instance holds, and the signals that make them yield. */
import type {
  ScheduledRequest,
  SchedulerOutcome,
} from '../../decisions/scheduler_types.js';

/** A slot in use by this instance. */
export interface HeldSlot {
  service: string;
  pool: string;
  endpoint: string;
  request: ScheduledRequest;
  /** Notifies the dispatcher that granted the slot that it is free. */
  releaseAtDispatcher: (outcome: SchedulerOutcome) => void;
}

/** Slots by request id. */
export interface HeldSlots {
  /** Returns the signal that tells the slot's user to yield. */
  add(slot: HeldSlot): AbortSignal;
  /** Releases the slot; has no effect when it was released before. */
  release(requestId: string, outcome: SchedulerOutcome): void;
  yieldSlot(requestId: string): void;
  list(): HeldSlot[];
}

/** Creates an empty set of slots. */
export function createHeldSlots(): HeldSlots {
  const slots = new Map<string, {slot: HeldSlot; yielding: AbortController}>();
  /** Online requests are never told to yield, so they share one signal. */
  const neverYielding = new AbortController();

  return {
    add(slot) {
      const {workClass} = slot.request;
      const yielding =
        workClass === 'batch' ? new AbortController() : neverYielding;
      slots.set(slot.request.id, {slot, yielding});
      return yielding.signal;
    },
    release(requestId, outcome) {
      const entry = slots.get(requestId);
      if (!entry) return;
      slots.delete(requestId);
      entry.slot.releaseAtDispatcher(outcome);
    },
    yieldSlot(requestId) {
      const entry = slots.get(requestId);
      if (entry?.slot.request.workClass === 'batch') entry.yielding.abort();
    },
    list: () => [...slots.values()].map(({slot}) => slot),
  };
}
