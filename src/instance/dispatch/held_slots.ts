/** The slots that this instance holds, and the signals that end them. */
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
  /** Tells whoever granted it that it is free. */
  giveBack: (outcome: SchedulerOutcome) => void;
}

/** Slots by request id. */
export interface HeldSlots {
  /** Returns the signal that tells the slot's user to make way. */
  add(slot: HeldSlot): AbortSignal;
  /** Gives the slot back; harmless when it was given back before. */
  release(requestId: string, outcome: SchedulerOutcome): void;
  yieldSlot(requestId: string): void;
  list(): HeldSlot[];
}

/** Starts without slots. */
export function createHeldSlots(): HeldSlots {
  const slots = new Map<string, {slot: HeldSlot; yielding: AbortController}>();

  return {
    add(slot) {
      const yielding = new AbortController();
      slots.set(slot.request.id, {slot, yielding});
      return yielding.signal;
    },
    release(requestId, outcome) {
      const entry = slots.get(requestId);
      if (!entry) return;
      slots.delete(requestId);
      entry.slot.giveBack(outcome);
    },
    yieldSlot(requestId) {
      slots.get(requestId)?.yielding.abort();
    },
    list: () => [...slots.values()].map(({slot}) => slot),
  };
}
