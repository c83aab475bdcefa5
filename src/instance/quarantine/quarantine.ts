/**
 * Holds back requests under which endpoints end, whichever id they come under,
 * whichever instance they come to and whatever sends them: callers, bundles, or
 * an instance that takes a stream up again.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {SharedTime} from '../../common/shared_time.js';
import type {StateSource} from '../../common/state_dump.js';
import {
  decideHeld,
  isCleared,
  selectCounting,
  type CrashRecord,
  type HeldContent,
} from '../../decisions/crash_suspects.js';
import type {CollectionWatch} from '../../stores/collections.js';
import type {TableStore} from '../../stores/table_store.js';
import {REMEMBERED_ANSWERS} from './constants.js';
import {createCrashStore} from './crash_store.js';
import {
  createCrashWatch,
  type CrashedRun,
  type CrashWatch,
} from './crash_watch.js';

/** What holds contents back. */
export interface Quarantine extends StateSource {
  /** Whether what the fleet has seen is known here. */
  isKnown(): boolean;
  /** Throws RouterError (not-run) for a content that is held. */
  checkHeld(content: string): void;
  /** A run lost its connection. */
  noteLoss: CrashWatch['noteLoss'];
  /** An endpoint ran it to an answer: it is not the cause of any crash. */
  noteAnswered(content: string): void;
  /** Writes what the store did not take, and drops what is too old. */
  keep(): Promise<void>;
  stop(): void;
}

/** What running requests ask of it and tell it. */
export type ContentGuard = Pick<
  Quarantine,
  'checkHeld' | 'noteLoss' | 'noteAnswered'
>;

/** What the quarantine works with. */
export interface QuarantineDependencies {
  clock: Clock;
  /** Read only: the time that crashes are noted by. */
  time: Pick<SharedTime, 'read'>;
  log: Log;
  metrics: Metrics;
  table: TableStore;
  watch: CollectionWatch;
  /** Shards that the records are spread over. */
  shards: number;
  /** Whether this instance is the one to drop what is too old. */
  isKeeper: () => boolean;
}

/** Follows the fleet's records from now on. */
export function createQuarantine({
  clock,
  time,
  log,
  metrics,
  table,
  watch,
  shards,
  isKeeper,
}: QuarantineDependencies): Quarantine {
  /** When contents were last answered here, by the shared clock. */
  const answeredAt = new LRUCache<string, number>({max: REMEMBERED_ANSWERS});
  const refusals = metrics.createCounter(
    'requests_quarantined_total',
    'Runs refused because endpoints ended under the same content.',
  );
  let held = new Map<string, HeldContent>();
  const store = createCrashStore({
    log,
    table,
    watch,
    shards,
    onChange: refresh,
  });
  const crashes = createCrashWatch({log, metrics, onCrash: noteCrash});

  /** Before an answer of the store, no request is let in. */
  function readTime(): number {
    return time.read() ?? clock.now();
  }

  function refresh() {
    const records = store.list();
    const cleared = records.filter(record =>
      isCleared(record, answeredAt.get(record.content)),
    );
    if (cleared.length > 0) {
      store.remove(cleared);
      return;
    }
    const before = held;
    const now = readTime();
    held = decideHeld(records, now);
    for (const [content, {crashes: count, until}] of held) {
      if (before.get(content)?.until === until) continue;
      const forMs = Math.round(until - now);
      log.warn(
        {content, crashes: count, forMs},
        'content held: endpoints end under it',
      );
    }
    for (const content of before.keys()) {
      if (!held.has(content)) log.info({content}, 'content held no more');
    }
  }

  function noteCrash({content, endpoint, hadAnswer}: CrashedRun) {
    const endedAt = readTime();
    const record = {content, endpoint: endpoint.name, endedAt, hadAnswer};
    if (!isCleared(record, answeredAt.get(content))) store.add(record);
  }

  function listOld(now: number): CrashRecord[] {
    const records = store.list();
    const counting = new Set(selectCounting(records, now));
    return records.filter(record => !counting.has(record));
  }

  return {
    isKnown: store.isKnown,
    checkHeld(content) {
      const found = held.get(content);
      if (!found) return;
      const retryAfterMs = found.until - readTime();
      if (retryAfterMs <= 0) return;
      refusals.inc();
      throw new RouterError(
        'quarantined',
        `${found.crashes} endpoints ended under the same request`,
        {verdict: 'not-run', retryAfterMs},
      );
    },
    noteLoss: crashes.noteLoss,
    noteAnswered(content) {
      answeredAt.set(content, readTime());
      const own = store.find(content);
      if (own.length > 0) store.remove(own);
    },
    async keep() {
      const old = listOld(readTime());
      if (old.length > 0 && isKeeper()) store.remove(old);
      await store.flush();
    },
    describeState() {
      const now = readTime();
      const isHeld = ({until}: HeldContent) => until > now;
      return {
        held: [...held.values()].filter(isHeld).length,
        ...store.describeState(),
      };
    },
    stop: store.stop,
  };
}
