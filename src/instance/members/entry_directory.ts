/**
 * The entry instances, by the rows that each keeps of itself in the table.
 * Rows change only when an instance starts, leaves or is found dead, so that a
 * fleet of any size follows them for nearly nothing; whether an instance lives
 * is told by heartbeats.
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
import {SILENT_ENTRY_ALONE_MS, SILENT_ENTRY_MS} from './constants.js';
import type {Members, SelfDescription} from './members.js';

const COLLECTION = 'instances';

/** Rows of all entry instances. */
export interface EntryDirectory {
  list(): ListedInstance[];
  count(): number;
  /** Whether the rows have been read at all. */
  isKnown(): boolean;
  /** The run of an instance that its row names. */
  findIncarnation(name: string): string | undefined;
  /** Writes this instance's row where it is missing or another run's. */
  register(): Promise<void>;
  /** Deletes this instance's row. */
  leave(): Promise<void>;
  /**
   * Whether this instance sees more than half of the registered ones. When the
   * fleet falls apart, only one side may take the other for dead: otherwise
   * each takes the other's work over again and again, and none gets done.
   */
  hasMajority(members: Members): boolean;
  /**
   * Deletes rows of instances that were silent for SILENT_ENTRY_MS; without a
   * majority for SILENT_ENTRY_ALONE_MS, so that a small rest of a fleet whose
   * other instances are lost for good does not wait for ever.
   */
  removeSilent(members: Members, now: number): Promise<void>;
  stop(): void;
}

/** What the directory works with. */
export interface EntryDirectoryDependencies {
  self: SelfDescription;
  table: TableStore;
  watch: CollectionWatch;
  log: Log;
  /** Told after each change. */
  onChange: () => void;
}

/** Follows the rows from now on. */
export function createEntryDirectory({
  self,
  table,
  watch,
  log,
  onChange,
}: EntryDirectoryDependencies): EntryDirectory {
  const rows = new Map<string, Row>();
  /** Decoded once: a fleet's list is looked at for every request. */
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
    // The row was replaced meanwhile: the next turn goes on from its version.
    else noteRow(self.name, undefined);
  }

  async function removeRow(row: Row): Promise<boolean> {
    const {key, version} = row;
    const condition = {kind: 'version', version} as const;
    const outcome = await table.transact([{kind: 'delete', key, condition}]);
    noteRow(key.sort, undefined);
    return outcome.kind === 'committed';
  }

  function hasMajority(members: Members): boolean {
    return members.listLive().length * 2 > rows.size;
  }

  /** The live instance that ranks first for a dead one's name removes its row. */
  function isRemover(name: string, members: Members): boolean {
    const live = members.listLive().filter(member => member.name !== name);
    return rankByRendezvous(name, live)[0]?.name === self.name;
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
      const patienceMs = hasMajority(members)
        ? SILENT_ENTRY_MS
        : SILENT_ENTRY_ALONE_MS;
      for (const [name, row] of rows) {
        if (name === self.name || !members.isSuspected(name)) {
          silentSince.delete(name);
          continue;
        }
        const since = silentSince.get(name) ?? now;
        silentSince.set(name, since);
        if (now - since < patienceMs || !isRemover(name, members)) continue;
        const isRemoved = await removeRow(row);
        log.info(
          {name, silentMs: now - since, isRemoved},
          'dead entry removed',
        );
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
