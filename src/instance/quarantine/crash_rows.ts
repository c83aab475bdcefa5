/** Rows that crashes are kept in, one for each run that was lost. */
import murmurhash from 'murmurhash';
import * as z from 'zod';
import type {CrashRecord} from '../../decisions/crash_suspects.js';
import {buildPartition} from '../../stores/collections.js';
import type {Row, RowKey} from '../../stores/table_store.js';
import {CRASH_SHARDS} from './constants.js';

/** Collection of the rows, which all instances follow. */
export const CRASHES = 'crashes';

const crashFieldsSchema = z.strictObject({
  content: z.string(),
  endpoint: z.string(),
  endedAt: z.number(),
  hadAnswer: z.boolean(),
}) satisfies z.ZodType<CrashRecord>;

/** Key of a record's row; those of one content lie in one shard. */
export function buildCrashKey(record: CrashRecord): RowKey {
  const {content, endpoint, endedAt} = record;
  const shard = String(murmurhash.v3(content) % CRASH_SHARDS);
  return {
    partition: buildPartition(CRASHES, shard),
    sort: `${content}/${endpoint}/${Math.round(endedAt)}`,
  };
}

/** Undefined for a row that no instance wrote. */
export function decodeCrashRow(row: Row): CrashRecord | undefined {
  return crashFieldsSchema.safeParse(row.fields).data;
}
