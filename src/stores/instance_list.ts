/**
 * The platform's list of live and leaving instances. It lags by seconds, so
 * whoever needs to know sooner asks the instance itself.
 */
import * as z from 'zod';
import {addressSchema, nameSchema} from '../common/units.js';

/** One entry of the list. */
export const listedInstanceSchema = z.strictObject({
  name: nameSchema,
  /** `entry`: runs this program. `endpoint`: answers requests of a service. */
  role: z.enum(['entry', 'endpoint']),
  /** Where peers (entry) or requests (endpoint) reach it. */
  address: addressSchema,
  region: nameSchema,
  failureDomain: nameSchema,
  /** The service an endpoint answers for. */
  service: nameSchema.optional(),
  /** Requests an endpoint runs at once, where it says so. */
  slots: z.number().int().positive().optional(),
  /** Wall time at which an entry instance started, in ms. */
  startedAt: z.number().optional(),
  /** Cores an entry instance may use, where it says so. */
  capacity: z.number().optional(),
  state: z.enum(['live', 'leaving']),
});

/** An instance as the platform lists it. */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/** Reads the list; throws StoreError when the platform gives no answer. */
export interface InstanceList {
  fetch(): Promise<ListedInstance[]>;
}
