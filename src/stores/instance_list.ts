/**
 * The platform's list of live and leaving instances. It lags by seconds; code
 * that needs the current state asks the instance itself.
 */
import * as z from 'zod';
import {addressSchema} from '../common/units.js';

/** Longest name in the list; a key of the table holds it. */
const MAX_NAME_CHARACTERS = 200;

/** Most requests that an endpoint can be meant to run concurrently. */
const MAX_SLOTS = 10_000;

/** Longest time for which an endpoint can be meant to stay cold, in ms. */
const MAX_COLD_MS = 3_600_000;

/** A name that a header can hold. Whoever starts an instance chooses it. */
const listedNameSchema = z
  .string()
  .max(MAX_NAME_CHARACTERS)
  .regex(/^[\x21-\x7e]+$/, 'must consist of printable ASCII characters');

/** A name that is a part of a pool's name, whose parts `/` separates. */
const placeNameSchema = listedNameSchema.regex(
  /^[^/]+$/,
  'must not contain a slash',
);

const listedAddressSchema = addressSchema.refine(
  address => !address.endsWith(':0'),
  'must have a port from 1 to 65535',
);

/** One entry of the list. */
export const listedInstanceSchema = z.strictObject({
  name: listedNameSchema,
  /**
   * `entry`: runs this program. `endpoint`: serves the requests of a service.
   */
  role: z.enum(['entry', 'endpoint']),
  /** Address for peers (entry) or for requests (endpoint). */
  address: listedAddressSchema,
  region: placeNameSchema,
  failureDomain: placeNameSchema,
  /** The service that an endpoint belongs to. */
  service: listedNameSchema.optional(),
  /** Number of requests an endpoint runs concurrently, if it reports one. */
  slots: z.number().int().positive().max(MAX_SLOTS).optional(),
  /** Version of the software that an endpoint runs, if it states one. */
  version: z.string().min(1).optional(),
  /** Wall time at which an entry instance started, in ms. */
  startedAt: z.number().optional(),
  /** Number of cores an entry instance may use, if it reports one. */
  capacity: z.number().optional(),
  /** Time for which an endpoint stays cold, as it stated last, in ms. */
  coldLeftMs: z.number().min(0).max(MAX_COLD_MS).optional(),
  state: z.enum(['live', 'leaving']),
});

/** An instance as the platform lists it. */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/**
 * Reads the list; throws StoreError if the platform gives no usable response.
 */
export interface InstanceList {
  fetch(): Promise<ListedInstance[]>;
}
