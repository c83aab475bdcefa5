/** Messages between a holder of slots and a dispatcher. Times in ms. */
import * as z from 'zod';
import {listedInstanceSchema} from '../../stores/instance_list.js';

const workClassSchema = z.enum(['online', 'batch']);

/** A request as it travels: the deadline is what remains of it. */
export const wireRequestSchema = z.strictObject({
  id: z.string(),
  account: z.string(),
  weight: z.number(),
  workClass: workClassSchema,
  remainingMs: z.number(),
  /** What remains until its first byte should come; may be below 0. */
  targetMs: z.number().optional(),
  /** What remains until it must have a slot; may be below 0. */
  startMs: z.number().optional(),
  /** What remains until a batch item's result is due; may be below 0. */
  dueMs: z.number().optional(),
  workMs: z.number().optional(),
  promptTokens: z.number(),
  answerTokens: z.number(),
  prefixHashes: z.array(z.string()),
  avoid: z.array(z.string()),
});

/** Ask for a slot, or ask again about a request that waits. */
export const acquireSchema = z.strictObject({
  service: z.string(),
  pool: z.string(),
  holder: z.string(),
  request: wireRequestSchema,
});

const lineSchema = z.strictObject({base: z.number(), slope: z.number()});

const latencySchema = z.strictObject({
  firstByte: lineSchema,
  perTokenMs: z.number().optional(),
  totals: z.strictObject({online: z.number(), batch: z.number()}),
});

/** Answer to `acquire`. */
export const acquireAnswerSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('granted'),
    endpoint: z.string(),
    /** As the dispatcher has it listed, for one that hears no news of it. */
    listed: listedInstanceSchema.optional(),
    /** What the dispatcher has learned: the next one is told. */
    latency: latencySchema.optional(),
  }),
  z.strictObject({
    kind: z.literal('refused'),
    reason: z.enum(['deadline', 'overloaded', 'no-endpoint']),
    retryAfterMs: z.number(),
  }),
  /** Still in the queue: ask again. */
  z.strictObject({kind: z.literal('waiting')}),
  /** The dispatcher stops: ask the one that ranks first now. */
  z.strictObject({kind: z.literal('moved')}),
]);

/** How a request on a slot went. */
export const outcomeSchema = z.strictObject({
  kind: z.enum([
    'answered',
    'failed',
    'refused',
    'silent',
    'cancelled',
    'yielded',
  ]),
  firstByteMs: z.number().optional(),
  totalMs: z.number().optional(),
  tokens: z.number(),
});

/** Slots given back together, and first bytes. Releasing twice is harmless. */
export const releaseSchema = z.strictObject({
  firstBytes: z
    .array(
      z.strictObject({
        pool: z.string(),
        requestId: z.string(),
        firstByteMs: z.number(),
      }),
    )
    .optional(),
  releases: z.array(
    z.strictObject({
      pool: z.string(),
      requestId: z.string(),
      outcome: outcomeSchema,
    }),
  ),
});

const heldSlotSchema = z.strictObject({
  service: z.string(),
  pool: z.string(),
  endpoint: z.string(),
  request: wireRequestSchema,
});

/** Every slot of the named pools that the sender holds. */
export const reportSchema = z.strictObject({
  holder: z.string(),
  pools: z.array(z.string()),
  slots: z.array(heldSlotSchema),
});

/** Asks what the receiver knows of a pool. */
export const poolNameSchema = z.strictObject({pool: z.string()});

/** What an instance knows of a pool. */
export const poolDescriptionSchema = z.strictObject({
  slots: z.array(heldSlotSchema),
  latency: latencySchema.optional(),
});

/** A dispatcher that stops or stands down, by its peer address. */
export const movedSchema = z.strictObject({dispatcher: z.string()});

/** Batch items that must make way at once. */
export const yieldSchema = z.strictObject({requestIds: z.array(z.string())});

/** Type of the schema of the same name. */
export type PoolDescription = z.infer<typeof poolDescriptionSchema>;
/** Type of the schema of the same name. */
export type WireRequest = z.infer<typeof wireRequestSchema>;
/** Type of the schema of the same name. */
export type AcquireAnswer = z.infer<typeof acquireAnswerSchema>;
/** Type of the schema of the same name. */
export type AcquireInput = z.infer<typeof acquireSchema>;
/** Type of the schema of the same name. */
export type ReleaseInput = z.infer<typeof releaseSchema>;
/** Type of the schema of the same name. */
export type ReportInput = z.infer<typeof reportSchema>;
