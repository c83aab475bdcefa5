/**
 * Which view holds each bucket, in the platform's table. A row changes hands by
 * compare-and-set only; views never change once written.
 */
import * as z from 'zod';
import type {RateView} from '../../decisions/rate_view.js';
import type {TableStore} from '../../stores/table_store.js';
import {viewMemberSchema} from './limit_messages.js';

const BUCKETS_PARTITION = 'buckets';
const VIEWS_PARTITION = 'rate-views';

/** Who holds a bucket. */
export interface BucketRow {
  /** Run of the view; empty when the bucket was given back. */
  run: string;
  /** Tokens in hand when it was given back. */
  tokens: number;
  version: number;
}

/** Rows of buckets and views. All methods throw StoreError without an answer. */
export interface BucketTable {
  find(bucket: string): Promise<BucketRow | undefined>;
  /** Whether the row was written; `version` 0 when there must be none. */
  replace(
    bucket: string,
    version: number,
    run: string,
    tokens?: number,
  ): Promise<boolean>;
  findView(run: string): Promise<RateView | undefined>;
  /** Writing the same view again is harmless. */
  addView(view: RateView): Promise<void>;
}

/** Over the platform's table. */
export function createBucketTable(table: TableStore): BucketTable {
  return {
    async find(bucket) {
      const key = {partition: BUCKETS_PARTITION, sort: bucket};
      const row = await table.get(key);
      if (!row) return undefined;
      const {run, tokens} = row.fields;
      return {run: String(run), tokens: Number(tokens), version: row.version};
    },
    async replace(bucket, version, run, tokens = 0) {
      const outcome = await table.transact([
        {
          kind: 'put',
          key: {partition: BUCKETS_PARTITION, sort: bucket},
          fields: {run, tokens},
          condition:
            version === 0 ? {kind: 'absent'} : {kind: 'version', version},
        },
      ]);
      return outcome.kind === 'committed';
    },
    async findView(run) {
      const row = await table.get({partition: VIEWS_PARTITION, sort: run});
      if (!row) return undefined;
      const members = z
        .array(viewMemberSchema)
        .parse(JSON.parse(String(row.fields.members)));
      return {run, members};
    },
    async addView(view) {
      await table.transact([
        {
          kind: 'put',
          key: {partition: VIEWS_PARTITION, sort: view.run},
          fields: {members: JSON.stringify(view.members)},
          condition: {kind: 'absent'},
        },
      ]);
    },
  };
}
