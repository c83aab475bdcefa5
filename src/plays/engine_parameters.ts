/**
 * Parameters of the engine model. The `measure` tool varies them to show how far
 * its results depend on them.
 */
import * as z from 'zod';

/** Times in ms, sizes in tokens. */
export const engineParametersSchema = z.strictObject({
  /** Base time of a step: reading the weights, whatever the step computes. */
  stepBaseMs: z.number().positive().default(14),
  /** Time that each decoding sequence adds to a step. */
  stepPerSequenceMs: z.number().nonnegative().default(0.2),
  /** Time that each prefilled prompt token adds to a step. */
  prefillPerTokenMs: z.number().nonnegative().default(0.08),
  /** Maximum number of prompt tokens per step (chunked prefill). */
  chunkTokens: z.number().int().positive().default(512),
  /** Maximum of running sequences; more wait inside, first come, first served. */
  maxSequences: z.number().int().positive().default(64),
  /** KV cache memory for running sequences. */
  kvTokens: z.number().int().positive().default(120_000),
  /** Capacity of the prefix cache in blocks; evicts the least recently used. */
  cacheBlocks: z.number().int().positive().default(512),
  /** Prompt tokens per block. */
  blockTokens: z.number().int().positive().default(128),
  /** Maximum share by which a step is randomly shorter or longer. */
  jitter: z.number().min(0).max(1).default(0.05),
  reportEveryMs: z.number().positive().default(1000),
  reportLagMs: z.number().nonnegative().default(1000),
  cacheEventLagMs: z.number().nonnegative().default(500),
  /** Share of cache events that never arrive. */
  cacheEventLoss: z.number().min(0).max(1).default(0.1),
});

/** Validated parameters. */
export type EngineParameters = z.infer<typeof engineParametersSchema>;

/** A 7B model on one mid-range accelerator, with chunked prefill. */
export const DEFAULT_ENGINE: EngineParameters = engineParametersSchema.parse(
  {},
);
