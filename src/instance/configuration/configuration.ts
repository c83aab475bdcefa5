/**
 * The service documents in force on this instance, read from the platform's
 * table. A version never goes back: an older one read late is ignored.
 */
import {StoreError, type TableStore} from '../../platform/table_store.js';
import {
  parseServiceDocument,
  type ServiceDocument,
} from './service_document.js';
import {CONFIGURATION_PARTITION} from './constants.js';

/** A document with its version in the table. */
export interface VersionedDocument {
  version: number;
  document: ServiceDocument;
}

/** The documents in force here. */
export interface Configuration {
  find(service: string): VersionedDocument | undefined;
  list(): VersionedDocument[];
  /** Reads the table once; throws StoreError when it gives no answer. */
  poll(): Promise<void>;
}

/** Starts without any document; `poll` brings them in. */
export function createConfiguration(table: TableStore): Configuration {
  const inForce = new Map<string, VersionedDocument>();

  return {
    find: service => inForce.get(service),
    list: () => [...inForce.values()],
    async poll() {
      for (const row of await table.query(CONFIGURATION_PARTITION)) {
        const name = row.key.sort;
        const held = inForce.get(name);
        if (held && held.version >= row.version) continue;
        const document = parseServiceDocument(String(row.fields.text), name);
        inForce.set(name, {version: row.version, document});
      }
    },
  };
}

/** How an apply ended. */
export type ApplyOutcome =
  | {kind: 'applied'; version: number}
  | {kind: 'unchanged'; version: number}
  | {kind: 'conflict'; version: number; author: string};

/** Puts a document into force by compare-and-set. Throws InvalidDocumentError. */
export async function applyServiceDocument(
  table: TableStore,
  text: string,
  author: string,
): Promise<ApplyOutcome> {
  const document = parseServiceDocument(text, 'document');
  const key = {partition: CONFIGURATION_PARTITION, sort: document.service.name};
  const row = await table.get(key);
  if (row && row.fields.text === text) {
    return {kind: 'unchanged', version: row.version};
  }
  const outcome = await table.transact([
    {
      kind: 'put',
      key,
      fields: {text, author},
      condition: row
        ? {kind: 'version', version: row.version}
        : {kind: 'absent'},
    },
  ]);
  if (outcome.kind === 'committed') {
    return {kind: 'applied', version: (row?.version ?? 0) + 1};
  }
  const winner = await table.get(key);
  if (!winner) throw new StoreError('the document was deleted', 'none');
  return {
    kind: 'conflict',
    version: winner.version,
    author: String(winner.fields.author),
  };
}
