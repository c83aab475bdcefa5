/**
 * Quarantines requests that make endpoints crash. It identifies them by
 * content, so that neither the request id, nor the instance that receives the
 * request, nor its source matters: a caller, a bundle, or an instance that
 * resumes a stream.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {SharedTime} from '../../common/shared_time.js';
import type {StateSource} from '../../common/state_dump.js';
import {
  decideQuarantined,
  decideTrials,
  isCleared,
  selectRelevant,
  type CrashRecord,
  type QuarantinedContent,
} from '../../decisions/crash_suspects.js';
import type {CollectionWatch} from '../../stores/collections.js';
import type {TableStore} from '../../stores/table_store.js';
import {MAX_ANSWERED_CONTENTS} from './constants.js';
import {createCrashStore} from './crash_store.js';
import {
  createCrashWatch,
  type LostRun,
  type CrashWatch,
} from './crash_watch.js';
import {createTrials, type Trial} from './trials.js';

/** Quarantines contents. */
export interface Quarantine extends StateSource {
  /** Whether the crash records of the fleet have been read. */
  isKnown(): boolean;
  /** Throws RouterError (not-run) for quarantined content. */
  checkQuarantine(content: string): void;
  /**
   * Acquires the trial in which a suspect may run, for at most `durationMs`;
   * undefined if the content is no suspect. Throws RouterError (not-run) if
   * another run holds it, or if the store does not tell.
   */
  acquireTrial(content: string, durationMs: number): Promise<Trial | undefined>;
  /**
   * Checks a run that lost its connection for a crash. A trial expires after a
   * crash, and is released otherwise.
   */
  noteLoss: CrashWatch['noteLoss'];
  /** Records that an endpoint answered, so that the content caused no crash. */
  noteAnswered(content: string): void;
  /** Writes pending records and removes expired ones. */
  runMaintenance(): Promise<void>;
  stop(): void;
}

/** The operations of the quarantine for requests that run. */
export type ContentGuard = Pick<
  Quarantine,
  'checkQuarantine' | 'acquireTrial' | 'noteLoss' | 'noteAnswered'
>;

export interface QuarantineDependencies {
  clock: Clock;
  /** Shared clock by which crashes are recorded; it is only read here. */
  time: Pick<SharedTime, 'read'>;
  log: Log;
  metrics: Metrics;
  table: TableStore;
  watch: CollectionWatch;
  /** Number of shards of the records. */
  shards: number;
  /** Whether this instance is the one that removes expired records. */
  isPruner: () => boolean;
}

/** Creates a quarantine, which starts to watch the fleet's records. */
export function createQuarantine({
  clock,
  time,
  log,
  metrics,
  table,
  watch,
  shards,
  isPruner: isKeeper,
}: QuarantineDependencies): Quarantine {
  /** Time of the last answer to each content here, on the shared clock. */
  const answeredAt = new LRUCache<string, number>({max: MAX_ANSWERED_CONTENTS});
  const refusals = metrics.createCounter(
    'requests_quarantined_total',
    'Runs refused because endpoints ended under the same content.',
  );
  let quarantined = new Map<string, QuarantinedContent>();
  let suspects: ReadonlySet<string> = new Set();
  const trials = createTrials({log, table, shards, readTime});
  const store = createCrashStore({
    log,
    table,
    watch,
    shards,
    onChange: refresh,
  });
  const crashes = createCrashWatch({log, metrics, onCrash: noteCrash});

  /**
   * Falls back to the local clock; no request is admitted before the store
   * answers.
   */
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
    const before = quarantined;
    const now = readTime();
    quarantined = decideQuarantined(records, now);
    suspects = decideTrials(records, now);
    for (const [content, {crashes: count, until}] of quarantined) {
      if (before.get(content)?.until === until) continue;
      const forMs = Math.round(until - now);
      log.warn(
        {content, crashes: count, forMs},
        'content quarantined: endpoints crashed while running it',
      );
    }
    for (const content of before.keys()) {
      if (!quarantined.has(content))
        log.info({content}, 'content released from quarantine');
    }
  }

  function noteCrash({content, endpoint, hadAnswer, trial}: LostRun) {
    const record: CrashRecord = {
      content,
      endpoint: endpoint.name,
      endedAt: readTime(),
      hadAnswer,
      ...(trial && {isTrial: true}),
    };
    if (!isCleared(record, answeredAt.get(content))) store.add(record);
  }

  function listExpired(now: number): CrashRecord[] {
    const records = store.list();
    const counting = new Set(selectRelevant(records, now));
    return records.filter(record => !counting.has(record));
  }

  return {
    isKnown: store.isKnown,
    checkQuarantine(content) {
      const found = quarantined.get(content);
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
    async acquireTrial(content, durationMs) {
      if (!suspects.has(content)) return undefined;
      return trials.acquire(content, durationMs);
    },
    noteLoss: crashes.noteLoss,
    noteAnswered(content) {
      answeredAt.set(content, readTime());
      const own = store.find(content);
      if (own.length > 0) store.remove(own);
    },
    async runMaintenance() {
      const expired = listExpired(readTime());
      if (expired.length > 0 && isKeeper()) {
        store.remove(expired);
        const contents = new Set(expired.map(({content}) => content));
        for (const content of contents) void trials.remove(content);
      }
      await store.flush();
    },
    describeState() {
      const now = readTime();
      const isActive = ({until}: QuarantinedContent) => until > now;
      return {
        held: [...quarantined.values()].filter(isActive).length,
        ...store.describeState(),
      };
    },
    stop: store.stop,
  };
}
