/**
 * The open bundles of the fleet, by the rows that say who works on each, and
 * which of them this instance must take over because their owner is gone.
 */
import type {Clock} from '../../common/clock.js';
import type {CollectionWatch} from '../../stores/collections.js';
import type {EntryDirectory} from '../members/entry_directory.js';
import type {Members} from '../members/members.js';
import {decodeOwnerRow, OPEN_BUNDLES} from './bundle_rows.js';
import type {OwnerFields} from './bundle_types.js';
import {UNWORKED_MS} from './constants.js';

/** Open bundles as this instance knows them. */
export interface OpenBundles {
  count(): number;
  listIds(): string[];
  /** Epoch of the present ownership; undefined for one that is not open. */
  getEpoch(id: string): number | undefined;
  /** Ownership by this run of the process. */
  buildOwn(epoch: number): OwnerFields;
  /** An ownership that was written here, before news of it comes. */
  note(id: string, owner: OwnerFields): void;
  /** One that was found not to be open any more. */
  remove(id: string): void;
  /** This instance has begun to work on it. */
  noteWorked(id: string): void;
  /** Bundles for this instance to take over. */
  listOrphans(isWorkedOn: (id: string) => boolean): string[];
  /** Whether this instance ranks first for a key. */
  isResponsible(key: string): boolean;
}

/** What the open bundles are known by. */
export interface OpenBundlesDependencies {
  clock: Clock;
  watch: CollectionWatch;
  members: Members;
  directory: EntryDirectory;
  /** Told after each change that others made. */
  onChange: () => void;
}

/** Follows the rows from now on. */
export function createOpenBundles({
  clock,
  watch,
  members,
  directory,
  onChange,
}: OpenBundlesDependencies): OpenBundles {
  const open = new Map<string, OwnerFields>();
  /** Since when bundles that name this instance have no run here. */
  const unworkedSince = new Map<string, number>();

  watch.watch(OPEN_BUNDLES, {
    reset(rows) {
      open.clear();
      for (const row of rows) note(row.key.sort, decodeOwnerRow(row));
      onChange();
    },
    change(changes) {
      for (const {key, row} of changes) {
        note(key.sort, row && decodeOwnerRow(row));
      }
      onChange();
    },
  });

  /** News of an ownership that was followed by one made here comes late. */
  function note(id: string, owner: OwnerFields | undefined) {
    if (!owner) open.delete(id);
    else if (owner.epoch >= (open.get(id)?.epoch ?? 0)) open.set(id, owner);
  }

  function isOwn({owner, incarnation}: OwnerFields): boolean {
    const {self} = members;
    return owner === self.name && incarnation === self.incarnation;
  }

  /**
   * A bundle that names this very run of the process but is not worked on: the
   * answer to the write that made it so was lost.
   */
  function isUnworked(id: string, now: number): boolean {
    const since = unworkedSince.get(id) ?? now;
    unworkedSince.set(id, since);
    return now - since >= UNWORKED_MS;
  }

  function isOwnerGone(id: string, owned: OwnerFields, now: number): boolean {
    const {owner, incarnation} = owned;
    if (isOwn(owned)) return isUnworked(id, now);
    unworkedSince.delete(id);
    if (owner === '' || owner === members.self.name) return true;
    const registered = directory.findIncarnation(owner);
    // Runs sort by their start. A run later than the registered one has only
    // not come to register yet: it accepts bundles from its first moment.
    if (registered === undefined || incarnation < registered) return true;
    const isLive = members.listLive().some(({name}) => name === owner);
    return !isLive && directory.hasMajority(members);
  }

  function isResponsible(key: string): boolean {
    return members.rankInstances(key)[0]?.name === members.self.name;
  }

  return {
    count: () => open.size,
    listIds: () => [...open.keys()],
    getEpoch: id => open.get(id)?.epoch,
    buildOwn(epoch) {
      const {name: owner, incarnation} = members.self;
      return {owner, incarnation, epoch};
    },
    note,
    remove: id => void open.delete(id),
    noteWorked: id => void unworkedSince.delete(id),
    listOrphans(isWorkedOn) {
      const now = clock.now();
      return [...open]
        .filter(
          ([id, owner]) =>
            !isWorkedOn(id) &&
            isOwnerGone(id, owner, now) &&
            (isOwn(owner) || isResponsible(id)),
        )
        .map(([id]) => id);
    },
    isResponsible,
  };
}
