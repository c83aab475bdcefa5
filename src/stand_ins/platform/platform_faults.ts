/**
 * Faults of the platform stand-in, and the gate that injects them. Every call of
 * the stand-in passes through the gate.
 */
import * as z from 'zod';
import {waitFor, type Clock} from '../../common/clock.js';
import {StoreError} from '../../stores/table_store.js';

/** Schema of the names of the three services of a platform. */
export const platformServiceSchema = z.enum(['table', 'objects', 'instances']);

/** Name of a service of the platform. */
export type PlatformService = z.infer<typeof platformServiceSchema>;

/** Write kind of the object store, used next to the table partitions. */
export const OBJECT_WRITES = 'objects';

const countSchema = z.number().int().min(0);

/** Schema of the faults; the defaults are a healthy platform. */
export const platformFaultsSchema = z.strictObject({
  /** No call reaches any service. */
  down: z.boolean().default(false),
  /** No call reaches these services. */
  downServices: z.array(platformServiceSchema).default([]),
  /** Number of future writes that take effect but lose their response. */
  answersToLose: countSchema.default(0),
  /** The same for writes of one kind, a table partition or `objects`. */
  answersToLoseOf: z.record(z.string(), countSchema).default({}),
  /** Delay of every call before it takes effect, in ms. */
  slowMs: z.number().min(0).default(0),
  /** Every call is throttled, as by an overloaded service. */
  throttled: z.boolean().default(false),
  /** Maximum number of reads and writes per second; the rest is throttled. */
  readsPerS: z.number().positive().default(Infinity),
  writesPerS: z.number().positive().default(Infinity),
  /** Delay until readers see a change of the instance list, in ms. */
  instanceListLagMs: z.number().min(0).default(0),
});

/** The active faults. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** Counts of calls since the start. */
export interface PlatformCounts {
  /** Calls that a service processed. */
  reads: number;
  writes: number;
  /** Rows put, deleted or checked by transactions. */
  rowsWritten: number;
  /** Calls throttled by faults or capacity. */
  throttled: number;
  /** Calls to a service that was down. */
  refused: number;
}

/** The service is over its capacity and wrote nothing. */
export class ThrottledError extends StoreError {
  constructor() {
    super('the service is over its capacity', 'none');
    this.name = 'ThrottledError';
  }
}

/** Lets calls pass or injects the active faults. */
export interface FaultGate {
  faults: PlatformFaults;
  counts: PlatformCounts;
  /** Lets one call pass; throws StoreError if a fault applies. */
  enter(service: PlatformService, effect: 'read' | 'write'): Promise<void>;
  /** Called after a write took effect; throws if its response must be lost. */
  loseResponse(kinds: readonly string[]): void;
}

/** Creates a gate without faults. */
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

  function checkAvailable(service: PlatformService) {
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
      checkAvailable(service);
      checkCapacity(effect);
      counts[effect === 'read' ? 'reads' : 'writes']++;
      if (faults.slowMs > 0) await waitFor(clock, faults.slowMs);
    },
    loseResponse(kinds) {
      const kind = kinds.find(one => (faults.answersToLoseOf[one] ?? 0) > 0);
      if (kind !== undefined) faults.answersToLoseOf[kind]--;
      else if (faults.answersToLose > 0) faults.answersToLose--;
      else return;
      throw new StoreError('the answer was lost', 'unknown');
    },
  };
}

/** Creates a token bucket that holds 1 s of a rate, which may change. */
function createCapacity(clock: Clock, getRate: () => number) {
  let tokens: number | undefined;
  let filledAt = 0;
  return {
    take(): boolean {
      const rate = getRate();
      if (rate === Infinity) return true;
      const now = clock.now();
      const previousTokens = tokens ?? rate;
      tokens = Math.min(
        rate,
        previousTokens + ((now - filledAt) * rate) / 1000,
      );
      filledAt = now;
      if (tokens < 1) return false;
      tokens--;
      return true;
    },
  };
}
