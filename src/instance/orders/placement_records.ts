/**
 * What each engine was ordered to run: one row for each. It is written before
 * an order (`ordering`) and after it (`held`), so that whoever comes next knows
 * of an order that may be under way.
 */
import * as z from 'zod';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Row, TableStore} from '../../stores/table_store.js';
import {PLACEMENTS_PARTITION} from './constants.js';
import type {Orderer} from './orderer.js';
import {EMPTY_PLACEMENT, type Placement} from './placement.js';

/** Writes tried against an orderer that writes the same row. */
const UNCLEAR_TRIES = 5;

const placementSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
});

/** The records as the orderer holds them. */
export interface PlacementRecords {
  /** Reads all; throws StoreError. */
  load(): Promise<void>;
  /** What the engine is known to run: nothing while an order is unclear. */
  getHeld(endpoint: ListedInstance): Placement;
  /** Notes an order that is about to be sent; false: not the orderer. */
  noteOrdering(endpoint: ListedInstance): Promise<boolean>;
  /**
   * Notes that an order of this instance may have reached the engine after the
   * right to order was lost. The orderer finds the row changed and begins anew
   * with that engine; without it, a late order on an engine that ignores
   * fencing would stay unnoticed for good.
   */
  noteUnclear(endpoint: ListedInstance): Promise<void>;
  /** Notes what the engine runs now; false: not the orderer. */
  noteHeld(endpoint: ListedInstance, placement: Placement): Promise<boolean>;
}

/** Starts without records; `load` reads them. */
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
    for (let tries = 0; tries < UNCLEAR_TRIES; tries++) {
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
      // Under another address it is another engine, which holds nothing.
      if (fields?.state !== 'held' || fields.address !== address) {
        return EMPTY_PLACEMENT;
      }
      return placementSchema.parse(JSON.parse(String(fields.placement)));
    },
    noteOrdering: endpoint => writeRow(endpoint, 'ordering', EMPTY_PLACEMENT),
    noteHeld: (endpoint, placement) => writeRow(endpoint, 'held', placement),
  };
}
