/**
 * Who else is there: the platform's list, corrected by what instances say of
 * themselves to a few peers.
 */
import type {
  InstanceList,
  ListedInstance,
} from '../../platform/instance_list.js';

/** This instance, as others see it. */
export interface SelfDescription {
  name: string;
  /** Where peers reach it. */
  address: string;
  region: string;
  failureDomain: string;
  /** Unique to one run of the process. */
  incarnation: string;
}

/** Members and endpoints as this instance sees them now. */
export interface Members {
  self: SelfDescription;
  /** Entry instances that take work, this one included. */
  listLive(): ListedInstance[];
  /** Endpoints of a service that take new work. */
  listEndpoints(service: string): ListedInstance[];
  /** Reads the platform's list; throws StoreError when it gives no answer. */
  poll(): Promise<void>;
}

/** Starts knowing nobody. */
export function createMembers(
  self: SelfDescription,
  list: InstanceList,
): Members {
  let listed: ListedInstance[] = [];

  return {
    self,
    listLive: () =>
      listed.filter(
        member => member.role === 'entry' && member.state === 'live',
      ),
    listEndpoints: service =>
      listed.filter(
        member =>
          member.role === 'endpoint' &&
          member.state === 'live' &&
          member.service === service,
      ),
    async poll() {
      listed = await list.fetch();
    },
  };
}
