/** How an engine stand-in behaves, and the faults it is told to have. */
import * as z from 'zod';

/** Timing and limits; times in ms. Changed while the stand-in runs. */
export const engineOptionsSchema = z.strictObject({
  /** Tokens of each answer. */
  tokens: z.number().int().positive().default(8),
  /** Time to the first token of an uncached prompt. */
  firstTokenMs: z.number().nonnegative().default(2),
  /** Whether the head of an answer is sent before its first token. */
  headAtOnce: z.boolean().default(false),
  /** Length of one step of the batch, in which each stream gains a token. */
  betweenTokensMs: z.number().nonnegative().default(1),
  /** Added to a step for each running stream. */
  stepMsPerStream: z.number().nonnegative().default(0),
  /** Streams in the batch at once; more wait inside the engine. */
  maxRunning: z.number().int().positive().default(64),
  /** Waiting streams beyond which a request is refused before admission. */
  maxWaiting: z.number().int().nonnegative().default(100_000),
  /** How long a stream outlives its connection, to be resumed. */
  resumeWindowMs: z.number().nonnegative().default(2000),
  /** Age of the load report. */
  loadLagMs: z.number().nonnegative().default(0),
  /** Every n-th cache event is left out; 0 leaves none out. */
  cacheEventGap: z.number().int().nonnegative().default(0),
  /** Prefixes the cache holds; older ones are evicted. */
  cachedPrefixes: z.number().int().positive().default(256),
  /** Whether an order with an old fencing number is refused. */
  fencing: z.enum(['enforced', 'ignored']).default('enforced'),
  /** Streams stand still at this many tokens until it is null again. */
  holdAt: z.number().int().nonnegative().nullable().default(null),
  /** Its process ends when it begins to run a prompt of this text. */
  endsOnPrompt: z.string().nullable().default(null),
  /** Whether repeated runs of a prompt give other text. */
  deterministic: z.boolean().default(true),
});

/** Checked options. */
export type EngineOptions = z.infer<typeof engineOptionsSchema>;

/**
 * What goes wrong with a request:
 * - `refuse`: refused before admission, as documented
 * - `fail`: status 500
 * - `die`: connection reset, the stream is forgotten
 * - `cut`: connection reset, the stream can be resumed
 * - `silent`: the connection stays open and nothing more is sent
 * - `truncate`: the answer ends without its end mark
 * - `cross-head`: the head names another request
 * - `cross-chunk`: a chunk of another request is sent
 * - `malformed`: an event is cut short in the middle
 * - `skip`: an event is left out
 * - `late`: the answer begins `delayMs` later
 */
export const engineFaultSchema = z.strictObject({
  kind: z.enum([
    'refuse',
    'fail',
    'die',
    'cut',
    'silent',
    'truncate',
    'cross-head',
    'cross-chunk',
    'malformed',
    'skip',
    'late',
  ]),
  /** Tokens sent before it happens; 0 is before the head. */
  afterTokens: z.number().int().nonnegative().default(0),
  /** Requests it happens to, one after another. */
  times: z.number().int().positive().default(1),
  delayMs: z.number().nonnegative().default(0),
});

/** A fault as given; defaults are filled in. */
export type EngineFaultInput = z.input<typeof engineFaultSchema>;

/** A checked fault. */
export type EngineFault = z.infer<typeof engineFaultSchema>;

/** Body of a call to the control endpoint. */
export const engineControlSchema = z.strictObject({
  options: engineOptionsSchema.partial().optional(),
  faults: z.array(engineFaultSchema).optional(),
});

/** Faults to come, in order; each request takes one. */
export interface FaultQueue {
  add(fault: EngineFaultInput): void;
  /** The fault of the next request. */
  take(): EngineFault | undefined;
  clear(): void;
}

/** Starts without faults. */
export function createFaultQueue(): FaultQueue {
  let faults: EngineFault[] = [];

  return {
    add: fault => void faults.push(engineFaultSchema.parse(fault)),
    take() {
      const [first] = faults;
      if (!first) return undefined;
      first.times--;
      if (first.times === 0) faults.shift();
      return first;
    },
    clear() {
      faults = [];
    },
  };
}
