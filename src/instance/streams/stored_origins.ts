/**
 * The origins of streams in the store, from which a new keeper learns what the one
 * before it knew.
 *
 * The keeper writes one row for all streams that began within WRITE_INTERVAL_MS, so that
 * the calls do not grow with the streams. Keys begin with the time, so that a reader
 * fetches only what it has not read yet, and the oldest rows come first.
 */
import * as z from 'zod';
import type {Clock} from '../../common/clock.js';
import type {Log} from '../../common/log.js';
import type {SharedTime} from '../../common/shared_time.js';
import {buildPartition} from '../../stores/collections.js';
import {
  StoreError,
  type Row,
  type TableStore,
} from '../../stores/table_store.js';
import {
  LATE_ROW_MS,
  MAX_ORIGINS_PER_BATCH,
  MAX_PENDING_ORIGINS,
  MAX_REMOVALS_PER_CLEANUP,
  MAX_ROWS_PER_REMOVAL,
  READ_INTERVAL_MS,
  ROW_RETENTION_MS,
  WRITE_INTERVAL_MS,
} from './constants.js';

/** Collection of the rows. */
const STREAMS = 'streams';

/** Digits of the time in a key, so that keys sort by time. */
const TIME_DIGITS = 15;

/** Where a stream began. */
export interface StreamOrigin {
  /** Id of the attempt that brought the stream's first event. */
  id: string;
  /** Version of the software of the endpoint that began it. */
  version: string;
}

/** An origin as it was read. */
export interface ReadOrigin extends StreamOrigin {
  /** Time since it was written, in ms. */
  ageMs: number;
}

/** Ids of streams by version. */
const idsByVersionSchema = z.record(z.string(), z.array(z.string()));

/** Rows of origins, by pool. */
export interface StoredOrigins {
  /** Writes an origin soon, with others; one that cannot be written is tried again. */
  add(pool: string, origin: StreamOrigin): void;
  /**
   * Reads the origins of a pool that were written since the last read, or lately. Throws
   * StoreError.
   */
  read(pool: string): Promise<ReadOrigin[]>;
  /** Removes the oldest rows of a pool that are past their retention. */
  removeExpired(pool: string): Promise<void>;
  countPending(): number;
  stop(): void;
}

export interface StoredOriginsDependencies {
  clock: Clock;
  /** The time by which rows are ordered. */
  time: Pick<SharedTime, 'read'>;
  log: Log;
  table: TableStore;
  /** Name of this instance, which is part of the keys it writes. */
  writer: string;
}

/** The last read of a pool's rows. */
interface Read {
  startedAt: number;
  origins: Promise<ReadOrigin[]>;
}

export function createStoredOrigins({
  clock,
  time,
  log,
  table,
  writer,
}: StoredOriginsDependencies): StoredOrigins {
  const pending = new Map<string, StreamOrigin[]>();
  const reads = new Map<string, Read>();
  /** Key after which the next read of a pool begins. */
  const readUntil = new Map<string, string>();
  let cancelTimer: (() => void) | undefined;
  let isFailing = false;
  let isStopped = false;

  function countPending(): number {
    return [...pending.values()].reduce((sum, {length}) => sum + length, 0);
  }

  function scheduleWrite() {
    if (isStopped) return;
    cancelTimer ??= clock.schedule(WRITE_INTERVAL_MS, () => {
      cancelTimer = undefined;
      void writePending();
    });
  }

  async function writePending() {
    const now = time.read();
    const pools = now === undefined ? [] : [...pending.keys()];
    await Promise.all(pools.map(pool => writeRow(pool, now!)));
    if (pending.size > 0) scheduleWrite();
  }

  async function writeRow(pool: string, now: number) {
    const waiting = pending.get(pool)!;
    const batch = waiting.splice(0, MAX_ORIGINS_PER_BATCH);
    if (waiting.length === 0) pending.delete(pool);
    try {
      await table.transact([
        {
          kind: 'put',
          key: {
            partition: buildPartition(STREAMS, pool),
            sort: `${formatTime(now)}/${writer}`,
          },
          fields: {origins: encodeOrigins(batch)},
          condition: {kind: 'absent'},
        },
      ]);
      isFailing = false;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      noteFailure(error);
      for (const origin of batch) addPending(pool, origin);
    }
  }

  function noteFailure(error: StoreError) {
    if (!isFailing) {
      log.info({err: error.message}, 'origins of streams not written');
    }
    isFailing = true;
  }

  function addPending(pool: string, origin: StreamOrigin) {
    if (countPending() >= MAX_PENDING_ORIGINS) return;
    const waiting = pending.get(pool) ?? [];
    pending.set(pool, waiting);
    waiting.push(origin);
  }

  async function fetchOrigins(pool: string): Promise<ReadOrigin[]> {
    const now = time.read() ?? 0;
    const rows = await table.query(buildPartition(STREAMS, pool), {
      after: readUntil.get(pool) ?? formatTime(now - ROW_RETENTION_MS),
    });
    readUntil.set(pool, formatTime(now - LATE_ROW_MS));
    return rows.flatMap(row => decodeOrigins(row, now));
  }

  /**
   * Removes the oldest rows that are past their retention; returns how many. If another
   * instance has removed one of them, the next cleanup removes the others.
   */
  async function removeOldest(pool: string): Promise<number> {
    const limit = formatTime((time.read() ?? 0) - ROW_RETENTION_MS);
    const oldest = await table.query(buildPartition(STREAMS, pool), {
      limit: MAX_ROWS_PER_REMOVAL,
    });
    const expired = oldest.filter(({key}) => key.sort < limit);
    if (expired.length === 0) return 0;
    await table.transact(
      expired.map(({key, version}) => ({
        kind: 'delete',
        key,
        condition: {kind: 'version', version},
      })),
    );
    return expired.length;
  }

  return {
    add(pool, origin) {
      addPending(pool, origin);
      scheduleWrite();
    },
    async read(pool) {
      const last = reads.get(pool);
      const waitMs = last ? last.startedAt + READ_INTERVAL_MS - clock.now() : 0;
      if (last && waitMs > 0) return last.origins;
      const origins = fetchOrigins(pool);
      reads.set(pool, {startedAt: clock.now(), origins});
      return origins;
    },
    async removeExpired(pool) {
      for (let count = 0; count < MAX_REMOVALS_PER_CLEANUP; count++) {
        const removed = await removeOldest(pool);
        if (removed < MAX_ROWS_PER_REMOVAL) return;
      }
    },
    countPending,
    stop() {
      isStopped = true;
      cancelTimer?.();
    },
  };
}

function formatTime(ms: number): string {
  return String(Math.max(0, Math.floor(ms))).padStart(TIME_DIGITS, '0');
}

function encodeOrigins(origins: readonly StreamOrigin[]): string {
  const ids: Record<string, string[]> = {};
  for (const {id, version} of origins) (ids[version] ??= []).push(id);
  return JSON.stringify(ids);
}

/** Decodes a row; one that cannot be decoded has no origins. */
function decodeOrigins({key, fields}: Row, now: number): ReadOrigin[] {
  const ageMs = Math.max(0, now - Number(key.sort.slice(0, TIME_DIGITS)));
  try {
    const ids = idsByVersionSchema.parse(JSON.parse(String(fields.origins)));
    return Object.entries(ids).flatMap(([version, own]) =>
      own.map(id => ({id, version, ageMs})),
    );
  } catch {
    return [];
  }
}
