/**
 * Stores in the platform's table which view holds each bucket. The view of a
 * bucket changes by compare-and-set only, and views are immutable.
 */
import * as z from 'zod';
import type {RateView} from '../../decisions/rate_view.js';
import type {TableStore} from '../../stores/table_store.js';
import {viewMemberSchema} from './limit_messages.js';

const BUCKETS_PARTITION = 'buckets';
const VIEWS_PARTITION = 'rate-views';

/** The view that holds a bucket. */
export interface BucketRow {
  /** Run of the view; empty when the bucket was released. */
  run: string;
  /** Tokens that were left when the bucket was released. */
  tokens: number;
  version: number;
}

/** Rows of buckets and views. Methods throw StoreError if the store fails. */
export interface BucketTable {
  find(bucket: string): Promise<BucketRow | undefined>;
  /** Returns whether the row was written; `version` 0 requires no row. */
  replace(
    bucket: string,
    version: number,
    run: string,
    tokens?: number,
  ): Promise<boolean>;
  findView(run: string): Promise<RateView | undefined>;
  /** Has no effect when the view was written before. */
  addView(view: RateView): Promise<void>;
}

/** Creates access to the rows in the platform's table. */
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
