/** What an engine model is made of; `measure` varies it to show the spread. */
import * as z from 'zod';

/** Times in ms, sizes in tokens. */
export const engineParametersSchema = z.strictObject({
  /** Time of a step that reads the weights, whatever it computes. */
  stepBaseMs: z.number().positive().default(14),
  /** Added to a step by each decoding sequence. */
  stepPerSequenceMs: z.number().nonnegative().default(0.2),
  /** Added to a step by each prompt token it prefills. */
  prefillPerTokenMs: z.number().nonnegative().default(0.08),
  /** Prompt tokens one step takes in at the most (chunked prefill). */
  chunkTokens: z.number().int().positive().default(512),
  /** Sequences it runs at once; more wait inside it, first come first served. */
  maxSequences: z.number().int().positive().default(64),
  /** KV memory for running sequences. */
  kvTokens: z.number().int().positive().default(120_000),
  /** Prefix blocks it keeps; the least recently used goes first. */
  cacheBlocks: z.number().int().positive().default(512),
  /** Prompt tokens in one block. */
  blockTokens: z.number().int().positive().default(128),
  /** Each step is up to this share shorter or longer. */
  jitter: z.number().min(0).max(1).default(0.05),
  reportEveryMs: z.number().positive().default(1000),
  reportLagMs: z.number().nonnegative().default(1000),
  cacheEventLagMs: z.number().nonnegative().default(500),
  /** Share of cache events that never arrive. */
  cacheEventLoss: z.number().min(0).max(1).default(0.1),
});

/** Checked parameters. */
export type EngineParameters = z.infer<typeof engineParametersSchema>;

/** A 7B model on one mid-range accelerator, with chunked prefill. */
export const DEFAULT_ENGINE: EngineParameters = engineParametersSchema.parse(
  {},
);
