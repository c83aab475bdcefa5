/**
 * The key that peers share, stored in the table. The first instance of a fleet
 * creates it and all others read it. Whoever can read the fleet's store can
 * already read everything that the fleet stores, so the key there discloses
 * nothing more.
 */
import {generateSecret} from '../../common/ids.js';
import {buildPartition} from '../../stores/collections.js';
import type {TableStore} from '../../stores/table_store.js';

const KEY = {partition: buildPartition('fleet'), sort: 'peer-key'};

/**
 * Reads the key, or creates it if there is none. Throws StoreError if the store
 * does not answer.
 */
export async function fetchPeerKey(table: TableStore): Promise<string> {
  for (;;) {
    const row = await table.get(KEY);
    if (row) return String(row.fields.key);
    const fields = {key: generateSecret() + generateSecret()};
    const condition = {kind: 'absent'} as const;
    const outcome = await table.transact([
      {kind: 'put', key: KEY, fields, condition},
    ]);
    if (outcome.kind === 'committed') return fields.key;
  }
}
