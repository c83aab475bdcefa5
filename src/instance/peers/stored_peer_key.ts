/**
 * The key that peers share, kept in the table: the first instance of a fleet
 * makes it, all others read it. Whoever can read the fleet's store can read all
 * that the fleet keeps, so a key there gives nothing more away.
 */
import {generateSecret} from '../../common/ids.js';
import {buildPartition} from '../../stores/collections.js';
import type {TableStore} from '../../stores/table_store.js';

const KEY = {partition: buildPartition('fleet'), sort: 'peer-key'};

/** Reads the key, or makes it; throws StoreError without an answer. */
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
