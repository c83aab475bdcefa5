/** Rows in which crashes are stored, one for each run that was lost. */
import murmurhash from 'murmurhash';
import * as z from 'zod';
import {normalizeId} from '../../common/ids.js';
import type {CrashRecord} from '../../decisions/crash_evidence.js';
import {buildPartition} from '../../stores/collections.js';
import type {Fields, Row, RowKey} from '../../stores/table_store.js';

/** Collection of the rows, which all instances watch. */
export const CRASHES = 'crashes';

const crashFieldsSchema = z.strictObject({
  content: z.string(),
  /** Ids of parts, separated by PART_SEPARATOR. */
  parts: z.string().optional(),
  endpoint: z.string(),
  endedAt: z.number(),
  hadAnswer: z.boolean(),
  isTrial: z.boolean().optional(),
  wasAnswered: z.boolean().optional(),
});

const PART_SEPARATOR = ',';

/** Builds the key of a record's row; all rows of one content share a shard. */
export function buildCrashKey(record: CrashRecord, shards: number): RowKey {
  const {content, endpoint, endedAt} = record;
  const shard = String(murmurhash.v3(content) % shards);
  return {
    partition: buildPartition(CRASHES, shard),
    sort: `${content}/${normalizeId(endpoint)}/${Math.round(endedAt)}`,
  };
}

/** Encodes a record as fields of a row. */
export function encodeCrashFields({parts, ...record}: CrashRecord): Fields {
  if (!parts || parts.length === 0) return record;
  return {...record, parts: parts.join(PART_SEPARATOR)};
}

/** Decodes a row; undefined when its fields are not those of a crash record. */
export function decodeCrashRow(row: Row): CrashRecord | undefined {
  const fields = crashFieldsSchema.safeParse(row.fields).data;
  if (!fields) return undefined;
  const {parts, ...record} = fields;
  return parts === undefined
    ? record
    : {...record, parts: parts.split(PART_SEPARATOR)};
}
