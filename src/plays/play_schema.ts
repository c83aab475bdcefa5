/** A play as data: who sends what, what fails when, and what must hold. */
import * as z from 'zod';
import {engineParametersSchema} from './engine_parameters.js';

const timeMs = z.number().nonnegative();

/** Sizes of requests, in tokens: medians of log-normal distributions. */
export const sizesSchema = z.strictObject({
  prompt: z.number().positive().default(600),
  answer: z.number().positive().default(60),
  spread: z.number().nonnegative().default(0.5),
  /** Prompt tokens shared by requests of the same template. */
  shared: z.number().nonnegative().default(384),
  /** Templates requests choose from. */
  templates: z.number().int().positive().default(4),
  /** Share of requests that use the first template. */
  hot: z.number().min(0).max(1).default(0),
});

const accountSchema = z.strictObject({
  name: z.string(),
  /** Requests a second the account may send over the whole fleet. */
  rate: z.number().positive(),
  burst: z.number().positive(),
  /** Requests a second it does send. */
  load: z.number().nonnegative(),
  weight: z.number().positive().default(1),
  deadlineMs: timeMs.default(10_000),
  sizes: sizesSchema.prefault({}),
  /** Share of requests that come in at the first instance. */
  skew: z.number().min(0).max(1).default(0),
});

const batchSchema = z.strictObject({
  account: z.string(),
  /** Items asking for a slot at once, at the most. */
  window: z.number().int().positive().default(600),
  startMs: timeMs.default(0),
  /** Items in all; without it, the job outlasts the play. */
  items: z.number().int().positive().optional(),
  /** Time by which the last item must be done. */
  dueMs: timeMs.optional(),
  sizes: sizesSchema.prefault({prompt: 700, answer: 100, shared: 256}),
});

const eventSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('burst'),
    atMs: timeMs,
    account: z.string(),
    requests: z.number().int().positive(),
    withinMs: timeMs,
  }),
  z.strictObject({
    kind: z.literal('load'),
    atMs: timeMs,
    account: z.string(),
    /** New load in requests a second. */
    load: z.number().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal('slow'),
    atMs: timeMs,
    endpoint: z.number().int().nonnegative(),
    factor: z.number().positive(),
  }),
  z.strictObject({
    kind: z.literal('silent'),
    atMs: timeMs,
    endpoint: z.number().int().nonnegative(),
    untilMs: timeMs.optional(),
  }),
  z.strictObject({kind: z.literal('dispatcher-lost'), atMs: timeMs}),
  z.strictObject({
    kind: z.literal('store-down'),
    atMs: timeMs,
    untilMs: timeMs,
  }),
]);

const expectationSchema = z.strictObject({
  measure: z.string(),
  /** Whose first tokens; of all accounts when absent. */
  account: z.string().optional(),
  comparison: z.enum(['<=', '>=']),
  value: z.number(),
  /** The measure is divided by that of the same play without this. */
  without: z.enum(['batch', 'events']).optional(),
});

/** Schema of a play. */
export const playSchema = z.strictObject({
  name: z.string(),
  seed: z.number().int().default(1),
  /** Plays with seeds from `seed` on that are judged together. */
  seeds: z.number().int().positive().default(1),
  durationMs: timeMs.default(30_000),
  /** Time at the start that counts for nothing. */
  warmupMs: timeMs.default(3000),
  endpoints: z.number().int().positive().default(12),
  instances: z.number().int().positive().default(10),
  /** One way between a client and its instance. */
  clientMs: timeMs.default(1),
  maxConcurrency: z.number().int().positive().default(16),
  engine: engineParametersSchema.prefault({}),
  accounts: z.array(accountSchema).min(1),
  batch: z.array(batchSchema).default([]),
  events: z.array(eventSchema).default([]),
  expectations: z.array(expectationSchema).default([]),
});

/** A checked play. */
export type Play = z.infer<typeof playSchema>;
/** One client account of a play. */
export type PlayAccount = z.infer<typeof accountSchema>;
/** One batch job of a play. */
export type PlayBatch = z.infer<typeof batchSchema>;
/** Something that happens at a set time. */
export type PlayEvent = z.infer<typeof eventSchema>;
/** Sizes of requests. */
export type PlaySizes = z.infer<typeof sizesSchema>;
/** What must hold at the end. */
export type Expectation = z.infer<typeof expectationSchema>;
