/** The platform's services, together. */
import type {InstanceList} from './instance_list.js';
import type {ObjectStore} from './object_store.js';
import type {TableStore} from './table_store.js';

/** What the platform gives: all that lasts is in it. */
export interface Platform {
  table: TableStore;
  objects: ObjectStore;
  instances: InstanceList;
}
