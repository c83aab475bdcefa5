/** Measures the use of one slot, and releases the slot exactly once. */
import type {Clock} from '../../common/clock.js';
import type {StatedLoad} from '../../decisions/scheduler_types.js';
import type {Slot, SlotOutcome} from '../dispatch/dispatch.js';

/** A slot while a request runs on it. */
export interface SlotUse {
  slot: Slot;
  /** Records what the head of the response says of the endpoint's load. */
  noteLoad(load: StatedLoad | undefined): void;
  noteToken(): void;
  /** Sets the outcome with which the slot is released; default `cancelled`. */
  setOutcome(kind: SlotOutcome['kind']): void;
  release(): void;
}

/** Creates a use; the time to the first byte counts from here. */
export function createSlotUse(clock: Clock, slot: Slot): SlotUse {
  const startedAt = clock.now();
  let kind: SlotOutcome['kind'] = 'cancelled';
  let firstByteMs: number | undefined;
  let load: StatedLoad | undefined;
  let tokens = 0;
  let released = false;

  return {
    slot,
    noteLoad(stated) {
      load = stated;
    },
    noteToken() {
      tokens++;
      if (firstByteMs !== undefined) return;
      firstByteMs = clock.now() - startedAt;
      slot.noteFirstByte?.(firstByteMs, load);
    },
    setOutcome(outcome) {
      kind = outcome;
    },
    release() {
      if (released) return;
      released = true;
      const totalMs = clock.now() - startedAt;
      slot.release({kind, firstByteMs, totalMs, tokens});
    },
  };
}
