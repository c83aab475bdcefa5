/** Applies service documents, and reads them back from the table. */
import {hashText} from '../../common/ids.js';
import {InvalidDocumentError} from '../../common/ini_document.js';
import {
  StoreError,
  type Row,
  type TableStore,
  type WriteOperation,
} from '../../stores/table_store.js';
import {commitChange, readHead} from './change_log.js';
import {
  CONFIGURATION_PARTITION,
  HISTORY_PARTITION,
  MAX_DOCUMENT_BYTES,
} from './constants.js';
import {parseServiceDocument} from './service_document.js';

const VERSION_DIGITS = 9;

/**
 * Result of an apply. Instances whose generation is at least `generation` have
 * applied the text.
 */
export type ApplyOutcome =
  | {kind: 'applied'; version: number; generation: number}
  | {kind: 'unchanged'; version: number; generation: number}
  | {kind: 'conflict'; version: number; author: string};

export interface ApplyOptions {
  /**
   * Version that the author edited. If the table has another one, the apply is
   * a conflict.
   */
  base?: number;
  /** Wall time of the apply, stored in the history. */
  wallNow?: number;
}

/** One version of a document. */
export interface StoredDocument {
  service: string;
  version: number;
  author: string;
  text: string;
  /** Wall time of the apply. */
  appliedAt: number;
}

/**
 * Applies a document by compare-and-set. Applying the same text again changes
 * nothing. Throws InvalidDocumentError before anything is written. After a
 * StoreError the apply may be repeated: it recognizes the effect of the earlier
 * call.
 */
export async function applyServiceDocument(
  table: TableStore,
  text: string,
  author: string,
  options: ApplyOptions = {},
): Promise<ApplyOutcome> {
  const service = checkDocument(text);
  const key = {partition: CONFIGURATION_PARTITION, sort: service};
  const row = await table.get(key);
  const version = row?.version ?? 0;
  if (row && row.fields.hash === hashText(text)) {
    const generation = await readHead(table);
    return {kind: 'unchanged', version, generation};
  }
  if (options.base !== undefined && options.base !== version) {
    return describeConflict(row);
  }
  const fields = {
    text,
    author,
    hash: hashText(text),
    appliedAt: options.wallNow ?? 0,
  };
  const outcome = await commitChange(
    table,
    {kind: 'document', service, version: version + 1, text, author},
    buildOperations(service, version, fields),
  );
  if (outcome.kind === 'conflict')
    return describeConflict(await table.get(key));
  const {generation} = outcome;
  return {kind: 'applied', version: version + 1, generation};
}

function checkDocument(text: string): string {
  const document = parseServiceDocument(text, 'document');
  const bytes = Buffer.byteLength(text);
  if (bytes <= MAX_DOCUMENT_BYTES) return document.service.name;
  throw new InvalidDocumentError('document', [
    {
      where: 'document',
      message: `has ${bytes} bytes; allowed are ${MAX_DOCUMENT_BYTES}`,
    },
  ]);
}

function buildOperations(
  service: string,
  version: number,
  fields: Row['fields'],
): WriteOperation[] {
  return [
    {
      kind: 'put',
      key: {partition: CONFIGURATION_PARTITION, sort: service},
      fields,
      condition: version === 0 ? {kind: 'absent'} : {kind: 'version', version},
    },
    {
      kind: 'put',
      key: buildHistoryKey(service, version + 1),
      fields,
      condition: {kind: 'absent'},
    },
  ];
}

function buildHistoryKey(service: string, version: number) {
  const padded = String(version).padStart(VERSION_DIGITS, '0');
  return {partition: HISTORY_PARTITION, sort: `${service}/${padded}`};
}

function describeConflict(row: Row | undefined): ApplyOutcome {
  if (!row)
    throw new StoreError(
      'document not found in the table after a write conflict',
      'none',
    );
  const author = String(row.fields.author);
  return {kind: 'conflict', version: row.version, author};
}

/** The active documents of all services. */
export async function listStoredDocuments(
  table: TableStore,
): Promise<StoredDocument[]> {
  const rows = await table.query(CONFIGURATION_PARTITION);
  return rows.map(row => toStoredDocument(row, row.key.sort, row.version));
}

/** The active version of a document, or an earlier one. */
export async function findStoredDocument(
  table: TableStore,
  service: string,
  version?: number,
): Promise<StoredDocument | undefined> {
  const key =
    version === undefined
      ? {partition: CONFIGURATION_PARTITION, sort: service}
      : buildHistoryKey(service, version);
  const row = await table.get(key);
  return row && toStoredDocument(row, service, version ?? row.version);
}

/** All versions of a document, oldest first. */
export async function listDocumentHistory(
  table: TableStore,
  service: string,
): Promise<StoredDocument[]> {
  const rows = await table.query(HISTORY_PARTITION, {prefix: `${service}/`});
  return rows.map(row =>
    toStoredDocument(row, service, Number(row.key.sort.split('/')[1])),
  );
}

function toStoredDocument(
  row: Row,
  service: string,
  version: number,
): StoredDocument {
  const {author, text, appliedAt} = row.fields;
  return {
    service,
    version,
    author: String(author),
    text: String(text),
    appliedAt: Number(appliedAt ?? 0),
  };
}
