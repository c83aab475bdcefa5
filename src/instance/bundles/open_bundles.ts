/**
 * The open bundles of the fleet, by the rows that say who works on each, and which
 * of them lost their owner. Only the instances that watch follow the rows.
 */
import type {CollectionWatch} from '../../stores/collections.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {selectWatchers} from '../../decisions/bundle_watchers.js';
import type {EntryDirectory} from '../members/entry_directory.js';
import type {Members} from '../members/members.js';
import {decodeOwnerRow, OPEN_BUNDLES} from './bundle_rows.js';
import type {OwnerFields} from './bundle_types.js';

/** A bundle whose owner is gone, and the instance that is to take it over. */
export interface Orphan {
  id: string;
  /** Of the ownership that has ended. */
  epoch: number;
  heir: ListedInstance;
}

/** Open bundles as this instance knows them: none unless it watches. */
export interface OpenBundles {
  count(): number;
  /** Begins or ceases to watch, by who lives now. */
  refresh(): void;
  /** Ownership by this run of the process. */
  buildOwn(epoch: number): OwnerFields;
  isOwn(owner: OwnerFields): boolean;
  /** Bundles without an owner that lives. */
  listOrphans(): Orphan[];
}

/** What the open bundles are known by. */
export interface OpenBundlesDependencies {
  watch: CollectionWatch;
  members: Members;
  directory: EntryDirectory;
}

/** Starts without watching. */
export function createOpenBundles({
  watch,
  members,
  directory,
}: OpenBundlesDependencies): OpenBundles {
  const open = new Map<string, OwnerFields>();
  let stopWatching: (() => void) | undefined;

  function note(id: string, owner: OwnerFields | undefined) {
    if (owner) open.set(id, owner);
    else open.delete(id);
  }

  function startWatching(): () => void {
    return watch.watch(OPEN_BUNDLES, {
      reset(rows) {
        open.clear();
        for (const row of rows) note(row.key.sort, decodeOwnerRow(row));
      },
      change(changes) {
        for (const {key, row} of changes) {
          note(key.sort, row && decodeOwnerRow(row));
        }
      },
    });
  }

  function isOwn({owner, incarnation}: OwnerFields): boolean {
    const {self} = members;
    return owner === self.name && incarnation === self.incarnation;
  }

  function isOwnerGone(owned: OwnerFields): boolean {
    const {owner, incarnation} = owned;
    if (isOwn(owned)) return false;
    if (owner === '' || owner === members.self.name) return true;
    const registered = directory.findIncarnation(owner);
    // Runs sort by their start. A run later than the registered one has only
    // not come to register yet: it accepts bundles from its first moment.
    if (registered === undefined || incarnation < registered) return true;
    const isLive = members.listLive().some(({name}) => name === owner);
    return !isLive && directory.hasMajority(members);
  }

  return {
    count: () => open.size,
    refresh() {
      const isWatcher = selectWatchers(members.listLive()).some(
        ({name}) => name === members.self.name,
      );
      if (isWatcher) {
        stopWatching ??= startWatching();
        return;
      }
      stopWatching?.();
      stopWatching = undefined;
      open.clear();
    },
    buildOwn(epoch) {
      const {name: owner, incarnation} = members.self;
      return {owner, incarnation, epoch};
    },
    isOwn,
    listOrphans: () =>
      [...open]
        .filter(([, owner]) => isOwnerGone(owner))
        .map(([id, {epoch}]) => ({
          id,
          epoch,
          heir: members.rankInstances(id)[0],
        })),
  };
}
