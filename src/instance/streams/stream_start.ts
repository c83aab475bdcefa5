/** Where the events of a stream, or the text of an item, come from. */
import type {ListedInstance} from '../../stores/instance_list.js';

/** The service and the software version whose endpoints may go on with it. */
export interface StreamStart {
  service: string;
  /** Absent if the endpoints state no versions. */
  version?: string;
}

/** Describes the start of what an endpoint of a service has begun to write. */
export function describeStart({service, version}: ListedInstance): StreamStart {
  return {service: service!, version};
}
