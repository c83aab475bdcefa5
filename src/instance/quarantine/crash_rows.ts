/** Rows in which crashes are stored, one for each run that was lost. */
import murmurhash from 'murmurhash';
import * as z from 'zod';
import type {CrashRecord} from '../../decisions/crash_suspects.js';
import {buildPartition} from '../../stores/collections.js';
import type {Row, RowKey} from '../../stores/table_store.js';

/** Collection of the rows, which all instances watch. */
export const CRASHES = 'crashes';

const crashFieldsSchema = z.strictObject({
  content: z.string(),
  endpoint: z.string(),
  endedAt: z.number(),
  hadAnswer: z.boolean(),
  isTrial: z.boolean().optional(),
}) satisfies z.ZodType<CrashRecord>;

/** Builds the key of a record's row; all rows of one content share a shard. */
export function buildCrashKey(record: CrashRecord, shards: number): RowKey {
  const {content, endpoint, endedAt} = record;
  const shard = String(murmurhash.v3(content) % shards);
  return {
    partition: buildPartition(CRASHES, shard),
    sort: `${content}/${endpoint}/${Math.round(endedAt)}`,
  };
}

/** Decodes a row; undefined when its fields are not those of a crash record. */
export function decodeCrashRow(row: Row): CrashRecord | undefined {
  return crashFieldsSchema.safeParse(row.fields).data;
}
