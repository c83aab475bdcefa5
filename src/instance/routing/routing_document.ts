/**
 * What the gateway serves: routes, accounts and limits on callers, as one
 * document with a version. It has a schema because instances send it to each
 * other. It contains keys only as hashes.
 */
import * as z from 'zod';

/** What may be done with a request whose response was lost. */
export const repeatRuleSchema = z.enum([
  /** It may run any number of times. */
  'idempotent',
  /** It may run at most once. */
  'once',
  /**
   * Its stream may be resumed on another endpoint after the last complete
   * event.
   */
  'resumable',
]);

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /**
   * Begins and ends with a slash. The longest prefix that matches the path
   * wins.
   */
  pathPrefix: z.string(),
  form: z.enum(['call', 'stream', 'bundle']),
  repeat: repeatRuleSchema,
  /** Services that share the route's requests. */
  targets: z.array(z.object({service: z.string(), weight: z.number()})).min(1),
  /** Maximum number of endpoints on which one request may be attempted. */
  maxAttempts: z.number(),
  /** Longest time from a request's arrival to its end, in ms. */
  timeoutMs: z.number(),
  /** Latency target for the first event or the complete response, in ms. */
  targetMs: z.number(),
  /**
   * Streams: callers disconnect after this long without an event, also before
   * the first one, in ms. 0 if unknown.
   */
  eventPatienceMs: z.number(),
  /** Target for the pause between two events, in ms; absent if there is none. */
  pauseTargetMs: z.number().optional(),
  /** Rank 0 is served first. */
  /** Rank of requests of accounts without one; rank 0 has the largest share. */
  rank: z.number(),
  /** Whether requests need no key. */
  isPublic: z.boolean(),
  /** Bundles: results are due this long after submission, in ms. */
  dueMs: z.number(),
  /**
   * Bundles: maximum number of waiting tokens of one account; 0 means no limit.
   */
  maxWaitingTokens: z.number(),
  /** Bundles: an item may be given up this long after submission, in ms. */
  itemLifetimeMs: z.number(),
  /** Regions that its requests must not leave; absent if there is no such rule. */
  allowedRegions: z.array(z.string()).optional(),
});

const accountSchema = z.object({
  name: z.string(),
  /** SHA-256 of each key, in hexadecimal. */
  keyHashes: z.array(z.string()),
  /** Requests per second over the whole fleet; 0 means no limit. */
  ratePerS: z.number(),
  /** Number of requests allowed at once after a pause. */
  burst: z.number(),
  /** Rank of its requests; absent: the rank of the route. */
  rank: z.number().optional(),
  /** Regions that its requests must not leave; absent if there is no such rule. */
  allowedRegions: z.array(z.string()).optional(),
});

const callerBoundsSchema = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
});

const serviceSchema = z.object({
  name: z.string(),
  /**
   * Maximum number of concurrent requests on one endpoint, if endpoints do not
   * report their own.
   */
  maxConcurrency: z.number(),
  /** How its endpoints warm up; absent if they tolerate any rate when cold. */
  warmUp: z
    .object({durationMs: z.number(), requestsPerS: z.number()})
    .optional(),
  /** Memory of one endpoint, in tokens; absent if it is unknown. */
  memoryTokens: z.number().optional(),
});

/** Schema of one version of the document. */
export const routingDocumentSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  accounts: z.array(accountSchema),
  callerBounds: callerBoundsSchema,
});

/** One version of the document. */
export type RoutingDocument = z.infer<typeof routingDocumentSchema>;
/** A route of the document. */
export type Route = z.infer<typeof routeSchema>;
/** A service of the document. */
export type RoutingService = z.infer<typeof serviceSchema>;
/** An account of the document. */
export type RoutingAccount = z.infer<typeof accountSchema>;
/** Limits on the size and slowness of callers' requests. */
export type CallerBounds = z.infer<typeof callerBoundsSchema>;
