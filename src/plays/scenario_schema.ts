/** Schema of a scenario: its load, its events and its expectations. */
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
  /** Number of templates that requests choose from. */
  templates: z.number().int().positive().default(4),
  /** Share of requests that use the first template. */
  hot: z.number().min(0).max(1).default(0),
});

const accountSchema = z.strictObject({
  name: z.string(),
  /** Requests per second that the account may send to the whole fleet. */
  rate: z.number().positive(),
  burst: z.number().positive(),
  /** Requests per second that the account sends. */
  load: z.number().nonnegative(),
  weight: z.number().positive().default(1),
  deadlineMs: timeMs.default(10_000),
  /** Time within which a first token is due; absent: as soon as possible. */
  targetMs: timeMs.optional(),
  sizes: sizesSchema.prefault({}),
  /** Share of requests that are sent to the first instance. */
  skew: z.number().min(0).max(1).default(0),
});

const batchSchema = z.strictObject({
  account: z.string(),
  /** Maximum number of open items, which wait for a slot or run. */
  window: z.number().int().positive().default(600),
  startMs: timeMs.default(0),
  /** Total number of items; if absent, the job outlasts the scenario. */
  items: z.number().int().positive().optional(),
  /** Time by which the last item must be completed. */
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
    /** New load in requests per second. */
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
  /** Account that is measured; if absent, all accounts. */
  account: z.string().optional(),
  comparison: z.enum(['<=', '>=']),
  value: z.number(),
  /** Divides the measure by that of the same scenario without this part. */
  without: z.enum(['batch', 'events']).optional(),
});

/** Schema of a complete scenario. */
export const scenarioSchema = z.strictObject({
  name: z.string(),
  seed: z.number().int().default(1),
  /** Number of runs that are judged together, with seeds from `seed` on. */
  seeds: z.number().int().positive().default(1),
  durationMs: timeMs.default(30_000),
  /** Time at the start that is excluded from the results. */
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

/** A validated scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** A client account of a scenario. */
export type ScenarioAccount = z.infer<typeof accountSchema>;
/** A batch job of a scenario. */
export type ScenarioBatch = z.infer<typeof batchSchema>;
/** An event at a set time. */
export type ScenarioEvent = z.infer<typeof eventSchema>;
/** Sizes of the requests of an account or a job. */
export type RequestSizes = z.infer<typeof sizesSchema>;
/** A condition on the results. */
export type Expectation = z.infer<typeof expectationSchema>;
