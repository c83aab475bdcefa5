/**
 * Presence checks: all instances confirm through the store that they run.
 *
 * Heartbeats go to a few neighbours. When many instances are lost at once, they
 * show a survivor neither who else is left nor whether the silent ones are lost
 * or only cut off from it, and accepted work would wait for its dead owners. The
 * store answers both: an instance that neither responds to heartbeats nor
 * reaches the store cannot commit anything, so its work may be taken over. One
 * that was only frozen is refused by the store's conditions when it goes on.
 *
 * One survivor writes a request that all instances follow, each of them writes
 * one row, and the requester publishes who did not. That is a write for each
 * instance and check, and at most one check in PRESENCE_CHECK_INTERVAL_MS.
 */
import {waitFor, type Clock} from '../../common/clock.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {SharedTime} from '../../common/shared_time.js';
import {detectLoss, type LossSign} from '../../decisions/loss_signs.js';
import type {CollectionWatch} from '../../stores/collections.js';
import {
  StoreError,
  type Row,
  type TableStore,
} from '../../stores/table_store.js';
import type {AbsentInstance} from './absences.js';
import {
  CONFIRMATION_WINDOW_FACTOR,
  CONFIRMATION_WINDOW_MS,
  MAX_ABSENT_PER_CHECK,
  PARALLEL_REMOVALS,
  PRESENCE_CHECK_INTERVAL_MS,
  PRESENCE_CHECK_LIFETIME_MS,
  REQUEST_JITTER_MS,
} from './constants.js';
import type {EntryDirectory} from './entry_directory.js';
import type {Members} from './members.js';
import {
  buildConfirmationKey,
  CHECK_KEY,
  decodeCheck,
  encodeCheck,
  listConfirmationPartitions,
  PRESENCE_CHECKS,
  type PresenceCheck,
} from './presence_rows.js';

/** This instance's part in presence checks. */
export interface PresenceChecks {
  /**
   * Requests a check if the heartbeats show a loss, and resolves after its
   * result is published. Throws StoreError if the store does not respond.
   */
  runIfNeeded(): Promise<void>;
  stop(): void;
}

export interface PresenceChecksDependencies {
  clock: Clock;
  /** The time of the store's clock. */
  time: SharedTime;
  log: Log;
  metrics: Metrics;
  table: TableStore;
  watch: CollectionWatch;
  members: Members;
  directory: EntryDirectory;
  /** Returns a number from 0 to 1. */
  random?: () => number;
}

/** The newest check that this instance knows. */
interface KnownCheck {
  check: PresenceCheck;
  version: number;
  /** Start of the check on this instance's monotonic clock. */
  since: number;
}

/** How a check ended that this instance requested. */
type CheckOutcome = 'absent' | 'all_present' | 'abandoned' | 'lost_race';

/** Maximum attempts to write the own confirmation of one check. */
const MAX_CONFIRM_ATTEMPTS = 3;

/** Creates presence checks and starts to follow them. */
export function createPresenceChecks({
  clock,
  time,
  log,
  metrics,
  table,
  watch,
  members,
  directory,
  random = Math.random,
}: PresenceChecksDependencies): PresenceChecks {
  const {self} = members;
  const key = buildConfirmationKey(self.name);
  let known: KnownCheck | undefined;
  let confirmedNumber = 0;
  /** Version of the row with this instance's confirmation; 0 if there is none. */
  let ownVersion = 0;
  let isRequesting = false;
  let isStopped = false;
  const checks = metrics.createCounter(
    'presence_checks_total',
    'Presence checks requested by this instance, by outcome: absent, all_present, abandoned, lost_race.',
    ['outcome'],
  );

  /** Returns the age of a check in ms; Infinity if the shared time is unknown. */
  function computeAge({startedAt}: PresenceCheck): number {
    const now = time.read();
    return now === undefined ? Infinity : Math.max(0, now - startedAt);
  }

  function noteRow(row: Row | undefined) {
    const check = row && decodeCheck(row);
    if (!row || !check || (known && row.version <= known.version)) return;
    const age = computeAge(check);
    const isKnown = known?.check.number === check.number;
    const since = isKnown ? known!.since : clock.now() - age;
    known = {check, version: row.version, since};
    if (age > PRESENCE_CHECK_LIFETIME_MS) return;
    if (check.absent) noteAbsent(check, since);
    else void writeConfirmation(check.number).catch(noteFailedConfirmation);
  }

  /** An instance that has started again since the check is not absent. */
  function noteAbsent({number, absent = []}: PresenceCheck, since: number) {
    const current = absent.filter(isRegistered);
    log.info(
      {number, absent: current.length},
      'presence check found absent instances',
    );
    members.noteAbsent(current, since);
  }

  function isRegistered({name, incarnation}: AbsentInstance): boolean {
    return directory.findIncarnation(name) === incarnation;
  }

  function noteFailedConfirmation(error: unknown) {
    const level = error instanceof StoreError ? 'warn' : 'error';
    log[level]({err: error}, 'presence not confirmed');
  }

  /** Only this instance writes the row, but an earlier run may have done so. */
  async function writeConfirmation(number: number) {
    if (isStopped || confirmedNumber >= number) return;
    confirmedNumber = number;
    for (let attempt = 0; attempt < MAX_CONFIRM_ATTEMPTS; attempt++) {
      const outcome = await table.transact([
        {
          kind: 'put',
          key,
          fields: {number, incarnation: self.incarnation},
          condition:
            ownVersion === 0
              ? {kind: 'absent'}
              : {kind: 'version', version: ownVersion},
        },
      ]);
      if (outcome.kind === 'committed') {
        ownVersion++;
        return;
      }
      ownVersion = (await table.get(key))?.version ?? 0;
    }
  }

  /**
   * Writes the row of the check and returns its version; undefined if another
   * instance has written it since `version`.
   */
  async function putCheck(
    check: PresenceCheck,
    version: number,
  ): Promise<number | undefined> {
    const outcome = await table.transact([
      {
        kind: 'put',
        key: CHECK_KEY,
        fields: encodeCheck(check),
        condition:
          version === 0 ? {kind: 'absent'} : {kind: 'version', version},
      },
    ]);
    if (outcome.kind === 'committed') return version + 1;
    noteRow(await table.get(CHECK_KEY));
    return undefined;
  }

  async function readConfirmations(): Promise<Row[]> {
    const shards = await Promise.all(
      listConfirmationPartitions().map(partition => table.query(partition)),
    );
    return shards.flat();
  }

  /** Deletes some confirmations of instances that are gone for good. */
  async function deleteStale(rows: readonly Row[], number: number) {
    const stale = rows
      .filter(({fields}) => Number(fields.number) < number)
      .filter(row => directory.findIncarnation(row.key.sort) === undefined)
      .slice(0, PARALLEL_REMOVALS);
    const deletions = stale.map(({key: staleKey, version}) => {
      const condition = {kind: 'version', version} as const;
      return table.transact([{kind: 'delete', key: staleKey, condition}]);
    });
    await Promise.all(deletions);
  }

  function listRegistered(): AbsentInstance[] {
    return directory.list().flatMap(({name}) => {
      const incarnation = directory.findIncarnation(name);
      return incarnation === undefined ? [] : [{name, incarnation}];
    });
  }

  /** Lists those of `expected` that are still registered and gave no sign of life. */
  function selectAbsent(
    expected: readonly AbsentInstance[],
    confirmed: ReadonlySet<string>,
    since: number,
  ): AbsentInstance[] {
    return expected
      .filter(({name}) => name !== self.name && !confirmed.has(name))
      .filter(isRegistered)
      .filter(({name}) => (members.findHeardAt(name) ?? -Infinity) < since)
      .slice(0, MAX_ABSENT_PER_CHECK);
  }

  async function awaitConfirmations(number: number) {
    const startedAt = clock.now();
    await writeConfirmation(number);
    const tookMs = clock.now() - startedAt;
    const windowMs = Math.max(
      CONFIRMATION_WINDOW_MS,
      CONFIRMATION_WINDOW_FACTOR * tookMs,
    );
    await waitFor(clock, windowMs);
  }

  /** Writes the request; undefined if it cannot be written now. */
  async function openCheck(sign: LossSign): Promise<KnownCheck | undefined> {
    const startedAt = time.read();
    if (startedAt === undefined) return undefined;
    const number = (known?.check.number ?? 0) + 1;
    const check = {number, requester: self.name, startedAt};
    const since = clock.now();
    const version = await putCheck(check, known?.version ?? 0);
    if (version === undefined) return undefined;
    known = {check, version, since};
    log.info({number, sign}, 'presence check requested');
    return known;
  }

  async function publishAbsent(
    {check, version, since}: KnownCheck,
    absent: readonly AbsentInstance[],
  ): Promise<CheckOutcome> {
    const result = {...check, absent};
    const published = await putCheck(result, version);
    if (published === undefined) return 'lost_race';
    known = {check: result, version: published, since};
    noteAbsent(result, since);
    return 'absent';
  }

  async function runCheck(sign: LossSign): Promise<CheckOutcome> {
    const expected = listRegistered();
    const opened = await openCheck(sign);
    if (!opened) return 'lost_race';
    const {since} = opened;
    const {number} = opened.check;
    await awaitConfirmations(number);
    const rows = await readConfirmations();
    const confirmed = listConfirmed(rows, number);
    const absent = selectAbsent(expected, confirmed, since);
    log.info(
      {
        number,
        expected: expected.length,
        confirmed: confirmed.size,
        absent: absent.length,
        tookMs: Math.round(clock.now() - since),
      },
      'presence check ended',
    );
    // Without its own confirmation, the requester cannot tell who is absent.
    if (!confirmed.has(self.name)) return 'abandoned';
    if (absent.length > 0) return publishAbsent(opened, absent);
    await deleteStale(rows, number);
    return 'all_present';
  }

  /** Whether a check was begun recently, by this instance or another one. */
  function hasRecentCheck(): boolean {
    if (!known) return false;
    return clock.now() - known.since < PRESENCE_CHECK_INTERVAL_MS;
  }

  /** Returns why a check is needed now; undefined if it is not. */
  function findReason(): LossSign | undefined {
    if (isStopped || !directory.isKnown() || hasRecentCheck()) return undefined;
    const hasMajority = directory.hasMajority(members);
    return detectLoss({...members.describeLoss(), hasMajority});
  }

  const stopWatching = watch.watch(PRESENCE_CHECKS, {
    reset(rows) {
      for (const row of rows) noteRow(row);
    },
    change(changes) {
      for (const {row} of changes) noteRow(row);
    },
  });

  return {
    async runIfNeeded() {
      if (isRequesting || !findReason()) return;
      isRequesting = true;
      try {
        await waitFor(clock, random() * REQUEST_JITTER_MS);
        const sign = findReason();
        if (sign) checks.inc({outcome: await runCheck(sign)});
      } finally {
        isRequesting = false;
      }
    },
    stop() {
      isStopped = true;
      stopWatching();
    },
  };
}

/** Names of the instances that confirmed a check. */
function listConfirmed(rows: readonly Row[], number: number): Set<string> {
  return new Set(
    rows
      .filter(({fields}) => fields.number === number)
      .map(({key}) => key.sort),
  );
}
