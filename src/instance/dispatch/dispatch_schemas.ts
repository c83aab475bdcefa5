/** Messages between a holder of slots and a dispatcher. Times in ms. */
import * as z from 'zod';
import {listedInstanceSchema} from '../../stores/instance_list.js';

const workClassSchema = z.enum(['online', 'batch']);

/** A request as it is sent to a dispatcher; times are relative to sending. */
export const wireRequestSchema = z.strictObject({
  id: z.string(),
  account: z.string(),
  weight: z.number(),
  workClass: workClassSchema,
  remainingMs: z.number(),
  /** Time left until its first byte should arrive; may be negative. */
  targetMs: z.number().optional(),
  /** Time left until it must have a slot; may be negative. */
  startMs: z.number().optional(),
  /** Time left until a batch item's result is due; may be negative. */
  dueMs: z.number().optional(),
  workMs: z.number().optional(),
  /** Factor on the usual duration of work that a batch item tolerates. */
  maxFactor: z.number().optional(),
  promptTokens: z.number(),
  answerTokens: z.number(),
  /** Sent only for services that state their memory. */
  memoryTokens: z.number().optional(),
  prefixHashes: z.array(z.string()),
  avoid: z.array(z.string()),
  /** Sent only by requests that go on with a stream. */
  version: z.string().optional(),
});

/** Asks for a slot, or asks again for a request that is waiting. */
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
  /** Learned speeds of endpoints that report their pace, by address. */
  speeds: z.record(z.string(), z.number()).optional(),
});

/** The load that came with a first byte; only one with a pace is sent. */
const loadSchema = z.strictObject({
  running: z.number(),
  waiting: z.number(),
  slots: z.number(),
  pace: z.number().positive(),
});

/** Response to `acquire`. */
export const acquireAnswerSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('granted'),
    endpoint: z.string(),
    /** The dispatcher's list entry, for a holder without store access. */
    listed: listedInstanceSchema.optional(),
    /** The dispatcher's latency model, for the holder to pass on. */
    latency: latencySchema.optional(),
  }),
  z.strictObject({
    kind: z.literal('refused'),
    reason: z.enum(['deadline', 'overloaded', 'no-endpoint', 'too-large']),
    retryAfterMs: z.number(),
  }),
  /** The request is still queued; the holder asks again. */
  z.strictObject({kind: z.literal('waiting')}),
  /** The dispatcher stops; the holder asks the one that ranks first now. */
  z.strictObject({kind: z.literal('moved')}),
]);

/** Outcome of a request on a slot. */
export const outcomeSchema = z.strictObject({
  kind: z.enum([
    'answered',
    'failed',
    'refused',
    'unreachable',
    'silent',
    'cancelled',
    'yielded',
  ]),
  firstByteMs: z.number().optional(),
  totalMs: z.number().optional(),
  tokens: z.number(),
});

/** Slots released together, and first bytes. Releasing twice is harmless. */
export const releaseSchema = z.strictObject({
  firstBytes: z
    .array(
      z.strictObject({
        pool: z.string(),
        requestId: z.string(),
        firstByteMs: z.number(),
        load: loadSchema.optional(),
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

/** All slots of the named pools that the sender holds. */
export const reportSchema = z.strictObject({
  holder: z.string(),
  pools: z.array(z.string()),
  slots: z.array(heldSlotSchema),
});

/** Asks the receiver to describe a pool. */
export const poolNameSchema = z.strictObject({pool: z.string()});

/** The slots that an instance holds in a pool, and the latency it knows. */
export const poolDescriptionSchema = z.strictObject({
  slots: z.array(heldSlotSchema),
  latency: latencySchema.optional(),
});

/** Announces that a dispatcher, named by peer address, stops or stands down. */
export const movedSchema = z.strictObject({dispatcher: z.string()});

/** Batch items that must yield their slots at once. */
export const yieldSchema = z.strictObject({requestIds: z.array(z.string())});

export type PoolDescription = z.infer<typeof poolDescriptionSchema>;
export type WireLoad = z.infer<typeof loadSchema>;
export type WireRequest = z.infer<typeof wireRequestSchema>;
export type AcquireAnswer = z.infer<typeof acquireAnswerSchema>;
export type AcquireInput = z.infer<typeof acquireSchema>;
export type ReleaseInput = z.infer<typeof releaseSchema>;
export type ReportInput = z.infer<typeof reportSchema>;
