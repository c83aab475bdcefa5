/**
 * Records what each engine was ordered to run, in one row per engine. The row
 * is written before an order (`ordering`) and after it (`held`), so that the
 * next orderer learns of an order that may be in flight.
 */
import * as z from 'zod';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Row, TableStore} from '../../stores/table_store.js';
import {PLACEMENTS_PARTITION} from './constants.js';
import type {Orderer} from './orderer.js';
import {EMPTY_PLACEMENT, type Placement} from './placement.js';

/**
 * Maximum number of attempts at a write that conflicts with another orderer's
 * writes to the same row.
 */
const MAX_WRITE_ATTEMPTS = 5;

const placementSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
});

/** The records as the orderer knows them. */
export interface PlacementRecords {
  /** Reads all records. Throws StoreError. */
  load(): Promise<void>;
  /**
   * What the engine is known to run. Nothing is known while the outcome of an
   * order is unclear.
   */
  getHeld(endpoint: ListedInstance): Placement;
  /**
   * Records that an order is about to be sent. Returns false if this instance
   * is not the orderer.
   */
  noteOrdering(endpoint: ListedInstance): Promise<boolean>;
  /**
   * Records that an order of this instance may have reached the engine after
   * the instance lost the right to send orders. The current orderer finds the
   * row changed and starts again with that engine. Without this, a late order
   * to an engine that ignores fencing would never be noticed.
   */
  noteUnclear(endpoint: ListedInstance): Promise<void>;
  /**
   * Records what the engine runs now. Returns false if this instance is not the
   * orderer.
   */
  noteHeld(endpoint: ListedInstance, placement: Placement): Promise<boolean>;
}

/** Creates records that are empty until `load` reads them. */
export function createPlacementRecords(
  table: TableStore,
  orderer: Orderer,
): PlacementRecords {
  let rows = new Map<string, Pick<Row, 'version' | 'fields'>>();

  async function writeRow(
    {name, address}: ListedInstance,
    state: 'ordering' | 'held',
    placement: Placement,
  ): Promise<boolean> {
    const version = rows.get(name)?.version ?? 0;
    const fields = {state, address, placement: JSON.stringify(placement)};
    const outcome = await table.transact([
      {
        kind: 'put',
        key: {partition: PLACEMENTS_PARTITION, sort: name},
        fields,
        condition:
          version === 0 ? {kind: 'absent'} : {kind: 'version', version},
      },
      ...orderer.buildChecks(),
    ]);
    if (outcome.kind === 'conflict') return false;
    rows.set(name, {version: version + 1, fields});
    return true;
  }

  async function markUnclear({name, address}: ListedInstance) {
    const key = {partition: PLACEMENTS_PARTITION, sort: name};
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      const row = await table.get(key);
      if (!row) return;
      const placement = JSON.stringify(EMPTY_PLACEMENT);
      const outcome = await table.transact([
        {
          kind: 'put',
          key,
          fields: {state: 'ordering', address, placement},
          condition: {kind: 'version', version: row.version},
        },
      ]);
      if (outcome.kind === 'committed') return;
    }
  }

  return {
    noteUnclear: markUnclear,
    async load() {
      const read = await table.query(PLACEMENTS_PARTITION);
      rows = new Map(read.map(row => [row.key.sort, row]));
    },
    getHeld({name, address}) {
      const fields = rows.get(name)?.fields;
      // An engine under another address is a different one, of which nothing is
      // known.
      if (fields?.state !== 'held' || fields.address !== address) {
        return EMPTY_PLACEMENT;
      }
      return placementSchema.parse(JSON.parse(String(fields.placement)));
    },
    noteOrdering: endpoint => writeRow(endpoint, 'ordering', EMPTY_PLACEMENT),
    noteHeld: (endpoint, placement) => writeRow(endpoint, 'held', placement),
  };
}
