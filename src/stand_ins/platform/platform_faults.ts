/**
 * The faults a platform is known for, and the gate that every call of the
 * stand-in passes through to meet them.
 */
import * as z from 'zod';
import {waitFor, type Clock} from '../../common/clock.js';
import {StoreError} from '../../stores/table_store.js';

/** The three services of a platform. */
export const platformServiceSchema = z.enum(['table', 'objects', 'instances']);

/** One of the platform's services. */
export type PlatformService = z.infer<typeof platformServiceSchema>;

/** Kind of every write to the object store, among table partitions. */
export const OBJECT_WRITES = 'objects';

const countSchema = z.number().int().min(0);

/** How the stand-in behaves until told otherwise. */
export const platformFaultsSchema = z.strictObject({
  /** No call reaches any service. */
  down: z.boolean().default(false),
  /** No call reaches these services. */
  downServices: z.array(platformServiceSchema).default([]),
  /** Writes take effect, then their answer is lost: this many more times. */
  answersToLose: countSchema.default(0),
  /** The same for writes of one kind: a table partition, or `objects`. */
  answersToLoseOf: z.record(z.string(), countSchema).default({}),
  /** Every call waits so long, in ms, before it takes effect. */
  slowMs: z.number().min(0).default(0),
  /** Every call is refused because the service has too much to do. */
  throttled: z.boolean().default(false),
  /** Calls a second that are let through; the rest is throttled. */
  readsPerS: z.number().positive().default(Infinity),
  writesPerS: z.number().positive().default(Infinity),
  /** A change of the instance list is seen so many ms later. */
  instanceListLagMs: z.number().min(0).default(0),
});

/** Faults in force. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** Calls since the start. */
export interface PlatformCounts {
  /** Calls that reached a service. */
  reads: number;
  writes: number;
  /** Rows put, deleted or checked by transactions. */
  rowsWritten: number;
  /** Calls refused for want of capacity. */
  throttled: number;
  /** Calls that met a service that was down. */
  refused: number;
}

/** The service has too much to do: nothing was written. */
export class ThrottledError extends StoreError {
  constructor() {
    super('the service is over its capacity', 'none');
    this.name = 'ThrottledError';
  }
}

/** Lets calls through, or brings the faults in force about. */
export interface FaultGate {
  faults: PlatformFaults;
  counts: PlatformCounts;
  /** Passes one call; throws StoreError. */
  enter(service: PlatformService, effect: 'read' | 'write'): Promise<void>;
  /** Called after a write took effect; throws when its answer is to be lost. */
  loseAnswer(kinds: readonly string[]): void;
}

/** Starts healthy. */
export function createFaultGate(clock: Clock): FaultGate {
  const faults = platformFaultsSchema.parse({});
  const counts: PlatformCounts = {
    reads: 0,
    writes: 0,
    rowsWritten: 0,
    throttled: 0,
    refused: 0,
  };
  const capacity = {
    read: createCapacity(clock, () => faults.readsPerS),
    write: createCapacity(clock, () => faults.writesPerS),
  };

  function checkUp(service: PlatformService) {
    if (!faults.down && !faults.downServices.includes(service)) return;
    counts.refused++;
    throw new StoreError('the service is down', 'none');
  }

  function checkCapacity(effect: 'read' | 'write') {
    if (!faults.throttled && capacity[effect].take()) return;
    counts.throttled++;
    throw new ThrottledError();
  }

  return {
    faults,
    counts,
    async enter(service, effect) {
      checkUp(service);
      checkCapacity(effect);
      counts[effect === 'read' ? 'reads' : 'writes']++;
      if (faults.slowMs > 0) await waitFor(clock, faults.slowMs);
    },
    loseAnswer(kinds) {
      const kind = kinds.find(one => (faults.answersToLoseOf[one] ?? 0) > 0);
      if (kind !== undefined) faults.answersToLoseOf[kind]--;
      else if (faults.answersToLose > 0) faults.answersToLose--;
      else return;
      throw new StoreError('the answer was lost', 'unknown');
    },
  };
}

/** A bucket that holds one second of a rate that may change. */
function createCapacity(clock: Clock, getRate: () => number) {
  let tokens: number | undefined;
  let filledAt = 0;
  return {
    take(): boolean {
      const rate = getRate();
      if (rate === Infinity) return true;
      const now = clock.now();
      const held = tokens ?? rate;
      tokens = Math.min(rate, held + ((now - filledAt) * rate) / 1000);
      filledAt = now;
      if (tokens < 1) return false;
      tokens--;
      return true;
    },
  };
}
