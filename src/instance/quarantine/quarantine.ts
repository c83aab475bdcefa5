/**
 * Quarantines requests that make endpoints crash. It identifies them by
 * content and by the parts of their prompts, so that neither the request id, nor the
 * instance that receives the request, nor its source matters: a caller, a bundle, or an
 * instance that resumes a stream.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {SharedTime} from '../../common/shared_time.js';
import type {StateSource} from '../../common/state_dump.js';
import {
  isCleared,
  selectRelevant,
  type CrashRecord,
  type QuarantinedSubject,
} from '../../decisions/crash_evidence.js';
import {
  decideQuarantined,
  decideTrials,
} from '../../decisions/crash_suspects.js';
import {
  collectAnswers,
  countCrashes,
  decideParts,
} from '../../decisions/part_suspects.js';
import type {CollectionWatch} from '../../stores/collections.js';
import type {TableStore} from '../../stores/table_store.js';
import {
  MAX_ANSWERED_CONTENTS,
  MAX_ANSWERED_PARTS,
  MIN_RECORDED_CRASHES,
  TRIAL_TIMEOUT_MS,
} from './constants.js';
import {createCrashStore} from './crash_store.js';
import {
  createCrashWatch,
  type LostRun,
  type CrashWatch,
} from './crash_watch.js';
import type {RunSubject} from './run_subject.js';
import {createTrials, mergeTrials, type Trial} from './trials.js';

/** Quarantines contents and parts of prompts. */
export interface Quarantine extends StateSource {
  /** Whether the crash records of the fleet have been read. */
  isKnown(): boolean;
  /** Throws RouterError (not-run) for a quarantined content or part. */
  checkQuarantine(subject: RunSubject): void;
  /** Whether the content or a part may run in a trial only. */
  isSuspected(subject: RunSubject): boolean;
  /**
   * Acquires the trials in which suspects may run, for at most `durationMs`;
   * undefined if neither the content nor a part is one. Throws RouterError (not-run) if
   * another run holds one, or if the store does not tell.
   */
  acquireTrial(
    subject: RunSubject,
    durationMs: number,
  ): Promise<Trial | undefined>;
  /**
   * Checks a run that lost its connection for a crash. A trial expires after a
   * crash, and is released otherwise.
   */
  noteLoss: CrashWatch['noteLoss'];
  /**
   * Records that an endpoint answered, so that the content caused no crash. Only a
   * complete, successful answer says the same of the parts.
   */
  noteAnswered(subject: RunSubject, isSuccess: boolean): void;
  /** Writes pending records and removes expired ones. */
  runMaintenance(): Promise<void>;
  stop(): void;
}

/** The operations of the quarantine for requests that run. */
export type ContentGuard = Pick<
  Quarantine,
  | 'checkQuarantine'
  | 'isSuspected'
  | 'acquireTrial'
  | 'noteLoss'
  | 'noteAnswered'
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
  /** Time of the last complete answer to each part here, on the shared clock. */
  const partAnsweredAt = new LRUCache<string, number>({
    max: MAX_ANSWERED_PARTS,
  });
  const refusals = metrics.createCounter(
    'requests_quarantined_total',
    'Runs refused because endpoints ended under the same content or part of a prompt.',
  );
  let contents = new Map<string, QuarantinedSubject>();
  let parts = new Map<string, QuarantinedSubject>();
  /** Keys of the trials that contents and parts need. */
  let suspects: ReadonlySet<string> = new Set();
  /** Parts with several crashes that no recorded answer clears. */
  let uncleared: ReadonlySet<string> = new Set();
  const trials = createTrials({clock, log, table, shards, readTime});
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
    const cleared = records.filter(
      record =>
        !record.wasAnswered &&
        isCleared(record, answeredAt.get(record.content)),
    );
    if (cleared.length > 0) {
      store.remove(cleared);
      return;
    }
    const now = readTime();
    const decided = decideParts(records, part => partAnsweredAt.get(part), now);
    // The crashes of a quarantined part count against no content.
    const {unexplained} = decided;
    const quarantinedContents = decideQuarantined(unexplained, now);
    logChanges('content', contents, quarantinedContents, now);
    logChanges('part', parts, decided.quarantined, now);
    contents = quarantinedContents;
    parts = decided.quarantined;
    suspects = new Set([
      ...decideTrials(unexplained, now),
      ...[...decided.suspects].map(buildPartKey),
    ]);
    uncleared = findUncleared(records);
  }

  function logChanges(
    kind: 'content' | 'part',
    before: ReadonlyMap<string, QuarantinedSubject>,
    after: ReadonlyMap<string, QuarantinedSubject>,
    now: number,
  ) {
    for (const [subject, {crashes: count, until}] of after) {
      if (before.get(subject)?.until === until) continue;
      const forMs = Math.round(until - now);
      log.warn(
        {[kind]: subject, crashes: count, forMs},
        `${kind} quarantined: endpoints crashed while running it`,
      );
    }
    for (const subject of before.keys()) {
      if (!after.has(subject))
        log.info({[kind]: subject}, `${kind} released from quarantine`);
    }
  }

  /** Finds the parts with several crashes that no recorded answer clears. */
  function findUncleared(records: readonly CrashRecord[]): Set<string> {
    const recorded = collectAnswers(records);
    const found = [...countCrashes(records)].filter(
      ([part, {crashes: count, lastAt}]) =>
        count >= MIN_RECORDED_CRASHES &&
        !isCleared({endedAt: lastAt}, recorded.get(part)),
    );
    return new Set(found.map(([part]) => part));
  }

  function noteCrash({content, parts, endpoint, hadAnswer, trial}: LostRun) {
    const endedAt = readTime();
    const suspected = parts.filter(
      part => !isCleared({endedAt}, partAnsweredAt.get(part)),
    );
    const record: CrashRecord = {
      content,
      ...(suspected.length > 0 && {parts: suspected}),
      endpoint: endpoint.name,
      endedAt,
      hadAnswer,
      ...(trial && {isTrial: true}),
    };
    if (!isCleared(record, answeredAt.get(content))) store.add(record);
  }

  /** Records an answer for all instances if it clears a part of several crashes. */
  function noteAnsweredParts(content: string, own: readonly string[]) {
    const endedAt = readTime();
    for (const part of own) partAnsweredAt.set(part, endedAt);
    const cleared = own.filter(part => uncleared.has(part));
    if (cleared.length === 0) return;
    log.info({content, parts: cleared}, 'parts cleared by an answer');
    store.add({
      content,
      parts: cleared,
      endpoint: 'answered',
      endedAt,
      hadAnswer: true,
      wasAnswered: true,
    });
  }

  /** Finds the content or the part of a subject that is held the longest. */
  function findHeld({content, parts: own}: RunSubject, now: number) {
    if (contents.size === 0 && parts.size === 0) return undefined;
    const held = [
      {isPart: false, found: contents.get(content)},
      ...own.map(part => ({isPart: true, found: parts.get(part)})),
    ].flatMap(({isPart, found}) =>
      found && found.until > now ? [{...found, isPart}] : [],
    );
    return held.toSorted((a, b) => b.until - a.until)[0];
  }

  /** Lists the trials that a subject needs, in the order in which they are acquired. */
  function listSuspects({content, parts: own}: RunSubject): string[] {
    if (suspects.size === 0) return [];
    const keys = [content, ...own.map(buildPartKey)];
    return keys.filter(key => suspects.has(key)).sort();
  }

  function listExpired(now: number): CrashRecord[] {
    const records = store.list();
    const counting = new Set(selectRelevant(records, now));
    return records.filter(record => !counting.has(record));
  }

  return {
    isKnown: store.isKnown,
    checkQuarantine(subject) {
      const now = readTime();
      const held = findHeld(subject, now);
      if (!held) return;
      refusals.inc();
      const what = held.isPart ? 'with the same part of the prompt' : 'like it';
      throw new RouterError(
        'quarantined',
        `${held.crashes} endpoints ended under requests ${what}`,
        {verdict: 'not-run', retryAfterMs: held.until - now},
      );
    },
    isSuspected: subject => listSuspects(subject).length > 0,
    async acquireTrial(subject, durationMs) {
      const needed = listSuspects(subject);
      if (needed.length === 0) return undefined;
      const acquired: Trial[] = [];
      const waitsUntil = clock.now() + Math.min(durationMs, TRIAL_TIMEOUT_MS);
      try {
        for (const key of needed) {
          const timeoutMs = waitsUntil - clock.now();
          acquired.push(await trials.acquire(key, durationMs, timeoutMs));
        }
      } catch (error) {
        for (const trial of acquired) trial.release();
        throw error;
      }
      return mergeTrials(acquired);
    },
    noteLoss: crashes.noteLoss,
    noteAnswered({content, parts: own}, isSuccess) {
      answeredAt.set(content, readTime());
      const lost = store.find(content).filter(({wasAnswered}) => !wasAnswered);
      if (lost.length > 0) store.remove(lost);
      if (isSuccess) noteAnsweredParts(content, own);
    },
    async runMaintenance() {
      const expired = listExpired(readTime());
      if (expired.length > 0 && isKeeper()) {
        store.remove(expired);
        const keys = new Set(
          expired.flatMap(({content, parts: own = []}) => [
            content,
            ...own.map(buildPartKey),
          ]),
        );
        for (const key of keys) void trials.remove(key);
      }
      await store.flush();
    },
    describeState() {
      const now = readTime();
      const isActive = ({until}: QuarantinedSubject) => until > now;
      return {
        held: [...contents.values(), ...parts.values()].filter(isActive).length,
        ...store.describeState(),
      };
    },
    stop: store.stop,
  };
}

/** Key of a part's trial, which is no content id. */
function buildPartKey(part: string): string {
  return `part ${part}`;
}
