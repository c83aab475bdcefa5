/**
 * What the gateway serves: routes, accounts and bounds on callers, as one
 * document with a version. Instances pass it on to each other, so it is a
 * schema; keys are in it as hashes only.
 */
import * as z from 'zod';

/** What may be done with a request whose answer did not come. */
export const repeatRuleSchema = z.enum([
  /** It may run any number of times. */
  'idempotent',
  /** It runs once at most. */
  'once',
  /** Its stream may be taken up elsewhere after the last whole event. */
  'resumable',
]);

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash; the longest that begins the path wins. */
  pathPrefix: z.string(),
  form: z.enum(['call', 'stream', 'bundle']),
  repeat: repeatRuleSchema,
  /** Services that share the route's requests. */
  targets: z.array(z.object({service: z.string(), weight: z.number()})).min(1),
  /** Endpoints that one request may run on. */
  maxAttempts: z.number(),
  /** Longest time from a request's arrival to its end, in ms. */
  timeoutMs: z.number(),
  /** Response-time objective: first event or whole answer, in ms. */
  targetMs: z.number(),
  /**
   * Streams: callers leave after so long without an event, before the first one
   * too, in ms; 0 where that is not known.
   */
  eventPatienceMs: z.number(),
  /** 0 is served first. */
  rank: z.number(),
  /** Whether requests need no key. */
  isPublic: z.boolean(),
  /** Bundles: results are due so long after submission, in ms. */
  dueMs: z.number(),
  /** Bundles: tokens that one account may have waiting; 0 means no bound. */
  maxWaitingTokens: z.number(),
  /** Bundles: an item may be given up so long after submission, in ms. */
  itemLifetimeMs: z.number(),
});

const accountSchema = z.object({
  name: z.string(),
  /** SHA-256 of each key, in hexadecimal. */
  keyHashes: z.array(z.string()),
  /** Requests a second over the whole fleet; 0 means no limit. */
  ratePerS: z.number(),
  /** Requests at once after a pause. */
  burst: z.number(),
});

const callerBoundsSchema = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
});

const serviceSchema = z.object({
  name: z.string(),
  /** Requests one endpoint runs at once, where endpoints do not say. */
  maxConcurrency: z.number(),
});

/** Schema of a version of the document. */
export const routingDocumentSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  accounts: z.array(accountSchema),
  callerBounds: callerBoundsSchema,
});

/** One version of the document. */
export type RoutingDocument = z.infer<typeof routingDocumentSchema>;
/** A route of it. */
export type Route = z.infer<typeof routeSchema>;
/** An account of it. */
export type RoutingAccount = z.infer<typeof accountSchema>;
/** What callers may send, and how slowly. */
export type CallerBounds = z.infer<typeof callerBoundsSchema>;
