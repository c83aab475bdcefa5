/**
 * The platform's list of live and leaving instances. It lags by seconds; code
 * that needs the current state asks the instance itself.
 */
import * as z from 'zod';
import {addressSchema, nameSchema} from '../common/units.js';

/** One entry of the list. */
export const listedInstanceSchema = z.strictObject({
  name: nameSchema,
  /**
   * `entry`: runs this program. `endpoint`: serves the requests of a service.
   */
  role: z.enum(['entry', 'endpoint']),
  /** Address for peers (entry) or for requests (endpoint). */
  address: addressSchema,
  region: nameSchema,
  failureDomain: nameSchema,
  /** The service that an endpoint belongs to. */
  service: nameSchema.optional(),
  /** Number of requests an endpoint runs concurrently, if it reports one. */
  slots: z.number().int().positive().optional(),
  /** Version of the software that an endpoint runs, if it states one. */
  version: z.string().min(1).optional(),
  /** Wall time at which an entry instance started, in ms. */
  startedAt: z.number().optional(),
  /** Number of cores an entry instance may use, if it reports one. */
  capacity: z.number().optional(),
  /** Time for which an endpoint stays cold, as it stated last, in ms. */
  coldLeftMs: z.number().min(0).optional(),
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
