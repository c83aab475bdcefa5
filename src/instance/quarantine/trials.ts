/**
 * Trials: leases under which a content that is suspected of crashing endpoints
 * runs once in the whole fleet.
 *
 * Each lease is a row with an expiry, so that a trial whose instance ended does not
 * block the content forever. After a crash the lease is left to expire: released, it
 * could be acquired by an instance that does not know the crash yet.
 */
import {ulid} from 'ulid';
import murmurhash from 'murmurhash';
import * as z from 'zod';
import {createTimeout, type Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Log} from '../../common/log.js';
import {buildPartition} from '../../stores/collections.js';
import {
  StoreError,
  type Row,
  type RowKey,
  type TableStore,
} from '../../stores/table_store.js';
import {TRIAL_RETRY_MS, TRIAL_SLACK_MS, TRIAL_TIMEOUT_MS} from './constants.js';

/** Collection of the leases. */
const TRIALS = 'trials';

const trialFieldsSchema = z.strictObject({
  holder: z.string(),
  /** By the fleet's shared clock, in ms. */
  expiresAt: z.number(),
});

/** The right to run a content once. */
export interface Trial {
  /** Ends the trial; without it, the lease expires. */
  release(): void;
}

export interface Trials {
  /** Throws RouterError (not-run) if no trial is to be had within `timeoutMs`. */
  acquire(
    content: string,
    durationMs: number,
    timeoutMs?: number,
  ): Promise<Trial>;
  /** Removes the expired lease of a content whose records were removed. */
  remove(content: string): Promise<void>;
}

export interface TrialsDependencies {
  clock: Clock;
  log: Log;
  table: TableStore;
  shards: number;
  /** Reads the fleet's shared clock, in ms. */
  readTime: () => number;
}

export function createTrials({
  clock,
  log,
  table,
  shards,
  readTime,
}: TrialsDependencies): Trials {
  function buildKey(content: string): RowKey {
    const shard = String(murmurhash.v3(content) % shards);
    return {partition: buildPartition(TRIALS, shard), sort: content};
  }

  /** Returns the remaining time of a lease; 0 if there is none. */
  function computeRemaining(row: Row | undefined): number {
    const fields = trialFieldsSchema.safeParse(row?.fields).data;
    return Math.max(0, (fields?.expiresAt ?? 0) - readTime());
  }

  /** Returns whether the lease was acquired. */
  async function acquireRow(
    key: RowKey,
    holder: string,
    durationMs: number,
  ): Promise<boolean> {
    const row = await table.get(key);
    if (computeRemaining(row) > 0) return false;
    const expiresAt = readTime() + durationMs + TRIAL_SLACK_MS;
    const outcome = await table.transact([
      {
        kind: 'put',
        key,
        fields: {holder, expiresAt},
        condition: row
          ? {kind: 'version', version: row.version}
          : {kind: 'absent'},
      },
    ]);
    return outcome.kind === 'committed';
  }

  async function removeRow(key: RowKey, equals: Record<string, string>) {
    try {
      const condition = {kind: 'fields', equals} as const;
      await table.transact([{kind: 'delete', key, condition}]);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.info({content: key.sort, err: error.message}, 'trial not released');
    }
  }

  /** Returns whether the lease was acquired in time; one that comes later is released. */
  async function acquireInTime(
    key: RowKey,
    holder: string,
    durationMs: number,
    timeoutMs: number,
  ): Promise<boolean> {
    const pending = acquireRow(key, holder, durationMs);
    const timeout = createTimeout(clock, timeoutMs);
    try {
      const isAcquired = await Promise.race([pending, timeout.expired]);
      if (isAcquired !== undefined) return isAcquired;
      void releaseLate(pending, key, holder);
      throw new StoreError('no response within the timeout', 'unknown');
    } finally {
      timeout.cancel();
    }
  }

  async function releaseLate(
    pending: Promise<boolean>,
    key: RowKey,
    holder: string,
  ) {
    try {
      if (await pending) await removeRow(key, {holder});
    } catch (error) {
      // Without its release, the lease expires.
      if (!(error instanceof StoreError)) throw error;
    }
  }

  return {
    async acquire(content, durationMs, timeoutMs = TRIAL_TIMEOUT_MS) {
      const key = buildKey(content);
      const holder = ulid();
      let isAcquired = false;
      try {
        isAcquired = await acquireInTime(key, holder, durationMs, timeoutMs);
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.info({content, err: error.message}, 'trial not acquired');
      }
      if (!isAcquired) throw buildHeldError();
      log.info({content, durationMs}, 'content runs in a trial');
      return {release: () => void removeRow(key, {holder})};
    },
    async remove(content) {
      const key = buildKey(content);
      try {
        const row = await table.get(key);
        if (!row || computeRemaining(row) > 0) return;
        await removeRow(key, {holder: String(row.fields.holder)});
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.info({content, err: error.message}, 'expired trial not removed');
      }
    },
  };
}

/** Joins trials that one run holds. */
export function mergeTrials(trials: readonly Trial[]): Trial {
  return {
    release() {
      for (const trial of trials) trial.release();
    },
  };
}

function buildHeldError(): RouterError {
  return new RouterError(
    'quarantined',
    'endpoints ended under the same request, and it is tried elsewhere',
    {verdict: 'not-run', retryAfterMs: TRIAL_RETRY_MS},
  );
}
