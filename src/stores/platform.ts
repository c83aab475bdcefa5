import type {InstanceList} from './instance_list.js';
import type {ObjectStore} from './object_store.js';
import type {TableStore} from './table_store.js';

/** The services of the platform, which hold all durable data. */
export interface Platform {
  table: TableStore;
  objects: ObjectStore;
  instances: InstanceList;
}
