/**
 * Tracks the entry instances by the row that each one writes of itself in the
 * table. A row changes only when an instance starts, leaves or is found dead,
 * so following the rows costs little at any fleet size. Whether an instance is
 * alive is found by heartbeats.
 */
import type {Log} from '../../common/log.js';
import {
  buildPartition,
  type CollectionWatch,
} from '../../stores/collections.js';
import {
  listedInstanceSchema,
  type ListedInstance,
} from '../../stores/instance_list.js';
import type {
  Fields,
  Row,
  RowKey,
  TableStore,
} from '../../stores/table_store.js';
import {rankByRendezvous} from '../../decisions/instance_ranking.js';
import {
  PARALLEL_REMOVALS,
  SILENT_ENTRY_MINORITY_TIMEOUT_MS,
  SILENT_ENTRY_TIMEOUT_MS,
} from './constants.js';
import type {Members, SelfDescription} from './members.js';

const COLLECTION = 'instances';

/** The rows of all entry instances. */
export interface EntryDirectory {
  list(): ListedInstance[];
  count(): number;
  /** Whether the rows have been read at least once. */
  isKnown(): boolean;
  /** The incarnation in an instance's row. */
  findIncarnation(name: string): string | undefined;
  /** Writes this instance's row if it is missing or belongs to another run. */
  register(): Promise<void>;
  /** Deletes this instance's row. */
  leave(): Promise<void>;
  /**
   * Whether this instance sees more than half of the registered instances as
   * live, without those that are leaving: their rows remain if the store was away when
   * they left. When the fleet is partitioned, only one side may treat the other as
   * dead. Otherwise each side would take over the other's work again and again,
   * and none of it would finish.
   */
  hasMajority(members: Members): boolean;
  /**
   * Deletes rows of instances that were silent, or known to be leaving, for
   * SILENT_ENTRY_TIMEOUT_MS.
   * Without a majority the timeout is SILENT_ENTRY_MINORITY_TIMEOUT_MS, except
   * for instances that a presence check found absent.
   */
  removeSilent(members: Members, now: number): Promise<void>;
  stop(): void;
}

/** The row of an instance that is silent for too long. */
interface SilentRow {
  name: string;
  row: Row;
  silentMs: number;
}

export interface EntryDirectoryDependencies {
  self: SelfDescription;
  table: TableStore;
  watch: CollectionWatch;
  log: Log;
  /** Called after each change. */
  onChange: () => void;
}

/** Creates a directory and starts to watch the rows. */
export function createEntryDirectory({
  self,
  table,
  watch,
  log,
  onChange,
}: EntryDirectoryDependencies): EntryDirectory {
  const rows = new Map<string, Row>();
  /** Decoded once per change, because the list is read for every request. */
  const entries = new Map<string, ListedInstance>();
  const silentSince = new Map<string, number>();
  let isKnown = false;
  let hasLeft = false;

  function noteRow(name: string, row: Row | undefined) {
    const held = rows.get(name);
    if (row && held && held.version > row.version) return;
    const entry = row && decodeEntry(row);
    if (row) rows.set(name, row);
    else rows.delete(name);
    if (entry) entries.set(name, entry);
    else entries.delete(name);
  }

  const stop = watch.watch(COLLECTION, {
    reset(all) {
      isKnown = true;
      rows.clear();
      entries.clear();
      for (const row of all) noteRow(row.key.sort, row);
      onChange();
    },
    change(changes) {
      for (const {key, row} of changes) noteRow(key.sort, row);
      onChange();
    },
  });

  async function register() {
    if (hasLeft) return;
    const key = buildKey(self.name);
    const row = rows.get(self.name) ?? (await table.get(key));
    const fields = buildFields(self);
    if (row && isSameRun(row, fields)) return;
    const outcome = await table.transact([
      {
        kind: 'put',
        key,
        fields,
        condition: row
          ? {kind: 'version', version: row.version}
          : {kind: 'absent'},
      },
    ]);
    if (outcome.kind === 'committed') log.info(fields, 'instance registered');
    // The row has changed since it was read: the next call of register reads
    // its new version.
    else noteRow(self.name, undefined);
  }

  async function removeRow(row: Row): Promise<boolean> {
    const {key, version} = row;
    const condition = {kind: 'version', version} as const;
    const outcome = await table.transact([{kind: 'delete', key, condition}]);
    noteRow(key.sort, undefined);
    return outcome.kind === 'committed';
  }

  /** A row of an earlier or later run counts as that of an instance that stays. */
  function isLeaving(name: string, members: Members): boolean {
    const incarnation = members.findLeaving(name);
    return (
      incarnation !== undefined &&
      rows.get(name)?.fields.incarnation === incarnation
    );
  }

  function hasMajority(members: Members): boolean {
    const staying = [...rows.keys()].filter(name => !isLeaving(name, members));
    return members.listLive().length * 2 > staying.length;
  }

  /**
   * Whether this instance ranks first among the live ones for a dead instance's
   * name. Only that instance removes the row.
   */
  function isRemover(name: string, members: Members): boolean {
    const live = members.listLive().filter(member => member.name !== name);
    return rankByRendezvous(name, live)[0]?.name === self.name;
  }

  /**
   * Returns since when an instance is silent. An absent one has given no sign of
   * life since the check began, which is before it was suspected.
   */
  function noteSilent(name: string, members: Members, now: number): number {
    const since = silentSince.get(name) ?? now;
    const absentSince = members.findAbsentSince(name) ?? since;
    silentSince.set(name, Math.min(since, absentSince));
    return silentSince.get(name)!;
  }

  /** Lists the silent rows that are due and that this instance removes. */
  function listSilent(members: Members, now: number): SilentRow[] {
    const isMajority = hasMajority(members);
    const silent: SilentRow[] = [];
    for (const [name, row] of rows) {
      const isGone = members.isSuspected(name) || isLeaving(name, members);
      if (name === self.name || !isGone) {
        silentSince.delete(name);
        continue;
      }
      const silentMs = now - noteSilent(name, members, now);
      const isSure = isMajority || members.findAbsentSince(name) !== undefined;
      const timeoutMs = isSure
        ? SILENT_ENTRY_TIMEOUT_MS
        : SILENT_ENTRY_MINORITY_TIMEOUT_MS;
      if (silentMs < timeoutMs || !isRemover(name, members)) continue;
      silent.push({name, row, silentMs});
    }
    return silent;
  }

  async function removeSilentRow({name, row, silentMs}: SilentRow) {
    const isRemoved = await removeRow(row);
    log.info({name, silentMs, isRemoved}, 'row of a silent instance removed');
  }

  return {
    list: () => [...entries.values()],
    count: () => entries.size,
    isKnown: () => isKnown,
    findIncarnation(name) {
      const incarnation = rows.get(name)?.fields.incarnation;
      return incarnation === undefined ? undefined : String(incarnation);
    },
    register,
    async leave() {
      hasLeft = true;
      const row = await table.get(buildKey(self.name));
      if (row?.fields.incarnation === self.incarnation) await removeRow(row);
    },
    hasMajority,
    async removeSilent(members, now) {
      const due = listSilent(members, now);
      for (let from = 0; from < due.length; from += PARALLEL_REMOVALS) {
        const batch = due.slice(from, from + PARALLEL_REMOVALS);
        await Promise.all(batch.map(silent => removeSilentRow(silent)));
      }
    },
    stop,
  };
}

function buildKey(name: string): RowKey {
  return {partition: buildPartition(COLLECTION), sort: name};
}

function buildFields(self: SelfDescription): Fields {
  const {name, address, region, failureDomain, incarnation} = self;
  const {startedAt = 0, capacity = 1} = self;
  const run = {incarnation, startedAt, capacity};
  return {name, address, region, failureDomain, ...run};
}

function isSameRun(row: Row, fields: Fields): boolean {
  return (
    row.fields.incarnation === fields.incarnation &&
    row.fields.address === fields.address
  );
}

function decodeEntry({fields}: Row): ListedInstance | undefined {
  const {name, address, region, failureDomain, startedAt, capacity} = fields;
  return listedInstanceSchema.safeParse({
    name,
    address,
    region,
    failureDomain,
    startedAt,
    capacity,
    role: 'entry',
    state: 'live',
  }).data;
}
