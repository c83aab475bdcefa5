/** Options and faults of the engine stand-in. */
import * as z from 'zod';

/** Options of a stand-in; may change while it runs. Times are in ms. */
export const engineOptionsSchema = z.strictObject({
  /** Number of tokens in each answer. */
  tokens: z.number().int().positive().default(8),
  /** Time to the first token of an uncached prompt. */
  firstTokenMs: z.number().nonnegative().default(2),
  /** What marks the end of a response besides its end marker. */
  framing: z.enum(['chunked', 'connection']).default('chunked'),
  /** Whether response headers are sent before the first token. */
  headAtOnce: z.boolean().default(false),
  /** Duration of a step, which adds one token to each running stream. */
  betweenTokensMs: z.number().nonnegative().default(1),
  /** Time that each running stream adds to a step. */
  stepMsPerStream: z.number().nonnegative().default(0),
  /** Maximum number of running streams; more wait inside the engine. */
  maxRunning: z.number().int().positive().default(64),
  /** Maximum number of waiting streams; beyond it, requests are refused. */
  maxWaiting: z.number().int().nonnegative().default(100_000),
  /** Time for which a stream without connection can be resumed. */
  resumeWindowMs: z.number().nonnegative().default(2000),
  /** Age of load reports. */
  loadLagMs: z.number().nonnegative().default(0),
  /** Drops every n-th cache event; 0 drops none. */
  cacheEventGap: z.number().int().nonnegative().default(0),
  /** Capacity of the prefix cache; least recently used entries are evicted. */
  cachedPrefixes: z.number().int().positive().default(256),
  /** Whether orders with an old fencing number are refused. */
  fencing: z.enum(['enforced', 'ignored']).default('enforced'),
  /** Number of tokens at which streams stop until this is null again. */
  holdAt: z.number().int().nonnegative().nullable().default(null),
  /** The simulated process ends when it receives a prompt with this text. */
  endsOnPrompt: z.string().nullable().default(null),
  /** The process ends when a prompt begins with this text. */
  endsOnPromptPart: z.string().nullable().default(null),
  /** Whether repeated runs of a prompt give the same text. */
  deterministic: z.boolean().default(true),
});

/** Validated options. */
export type EngineOptions = z.infer<typeof engineOptionsSchema>;

/**
 * Schema of a fault of one or more requests:
 * - `refuse`: the request is refused before admission, as documented
 * - `fail`: the response has status 500
 * - `die`: the connection is reset and the stream is dropped
 * - `cut`: the connection is reset, and the stream can be resumed
 * - `reset`: as `die`, and the reset arrives together with the last token
 * - `silent`: the connection stays open and nothing more is sent
 * - `truncate`: the response ends without its end marker
 * - `cross-head`: the response headers name another request
 * - `cross-chunk`: a chunk of another request is sent
 * - `malformed`: an event is truncated
 * - `skip`: an event is omitted
 * - `late`: the response starts `delayMs` later
 */
export const engineFaultSchema = z.strictObject({
  kind: z.enum([
    'refuse',
    'fail',
    'die',
    'cut',
    'reset',
    'silent',
    'truncate',
    'cross-head',
    'cross-chunk',
    'malformed',
    'skip',
    'late',
  ]),
  /** Number of tokens sent before the fault; 0 is before the headers. */
  afterTokens: z.number().int().nonnegative().default(0),
  /** Number of consecutive requests that have the fault. */
  times: z.number().int().positive().default(1),
  delayMs: z.number().nonnegative().default(0),
});

/** A fault in which fields with a default may be absent. */
export type EngineFaultInput = z.input<typeof engineFaultSchema>;

/** A validated fault. */
export type EngineFault = z.infer<typeof engineFaultSchema>;

/** Schema of the body of `POST /control`. */
export const engineControlSchema = z.strictObject({
  options: engineOptionsSchema.partial().optional(),
  faults: z.array(engineFaultSchema).optional(),
});

/** Queue of faults; each request takes the next one. */
export interface FaultQueue {
  add(fault: EngineFaultInput): void;
  /** Takes the fault of the next request, if any. */
  take(): EngineFault | undefined;
  clear(): void;
}

/** Creates an empty queue. */
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
