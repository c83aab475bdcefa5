/**
 * Tracks the open bundles of the fleet by their owner rows, and finds those
 * whose owner is gone. Only a few selected instances, the watchers, follow
 * these rows.
 */
import type {CollectionWatch} from '../../stores/collections.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {selectWatchers} from '../../decisions/bundle_watchers.js';
import type {EntryDirectory} from '../members/entry_directory.js';
import type {Members} from '../members/members.js';
import {decodeOwnerRow, OPEN_BUNDLES} from './bundle_rows.js';
import type {OwnerFields} from './bundle_types.js';
import {LEAVING_OWNER_TIMEOUT_MS} from './constants.js';

/** A bundle whose owner is gone, with the instance that has to take it over. */
export interface Orphan {
  id: string;
  /** Epoch of the ownership that has ended. */
  epoch: number;
  successor: ListedInstance;
}

/** The open bundles that this instance knows: none unless it is a watcher. */
export interface OpenBundles {
  count(): number;
  /** Starts or stops watching, depending on which instances are live. */
  refresh(): void;
  /** Builds an ownership by this incarnation. */
  buildOwnership(epoch: number): OwnerFields;
  isOwn(owner: OwnerFields): boolean;
  /** Bundles whose owner is gone, or has left without handing them over. */
  listOrphans(now: number): Orphan[];
}

export interface OpenBundlesDependencies {
  watch: CollectionWatch;
  members: Members;
  directory: EntryDirectory;
}

export function createOpenBundles({
  watch,
  members,
  directory,
}: OpenBundlesDependencies): OpenBundles {
  const open = new Map<string, OwnerFields>();
  /** Time since which an owner that is not live is known, by its incarnation. */
  let absentSince = new Map<string, number>();
  let stopWatching: (() => void) | undefined;

  function noteOwner(id: string, owner: OwnerFields | undefined) {
    if (owner) open.set(id, owner);
    else open.delete(id);
  }

  function startWatching(): () => void {
    return watch.watch(OPEN_BUNDLES, {
      reset(rows) {
        open.clear();
        for (const row of rows) noteOwner(row.key.sort, decodeOwnerRow(row));
      },
      change(changes) {
        for (const {key, row} of changes) {
          noteOwner(key.sort, row && decodeOwnerRow(row));
        }
      },
    });
  }

  function isOwn({owner, incarnation}: OwnerFields): boolean {
    const {self} = members;
    return owner === self.name && incarnation === self.incarnation;
  }

  /**
   * An owner that leaves hands its bundles over with their progress. Without this wait
   * another instance would take them over before, and their items would start again.
   */
  function isHandingOver({owner, incarnation}: OwnerFields, now: number) {
    if (members.isSuspected(owner)) return false;
    const since = absentSince.get(incarnation) ?? now;
    return now - since < LEAVING_OWNER_TIMEOUT_MS;
  }

  function isOwnerGone(owned: OwnerFields, now: number): boolean {
    const {owner, incarnation} = owned;
    if (isOwn(owned)) return false;
    if (owner === '' || owner === members.self.name) return true;
    const registered = directory.findIncarnation(owner);
    // Incarnations sort by their start. An incarnation later than the
    // registered one has not registered yet: it accepts bundles immediately
    // after its start.
    if (registered === undefined || incarnation < registered) return true;
    if (isLive(owner) || isHandingOver(owned, now)) return false;
    // A minority cannot tell by heartbeats alone whether the owner is lost or this
    // instance is cut off. A presence check can.
    const isAbsent = members.findAbsentSince(owner) !== undefined;
    return isAbsent || directory.hasMajority(members);
  }

  function isLive(owner: string): boolean {
    return members.listLive().some(({name}) => name === owner);
  }

  function noteAbsent(now: number) {
    const absent = [...open.values()].filter(({owner}) => !isLive(owner));
    absentSince = new Map(
      absent.map(({incarnation}) => [
        incarnation,
        absentSince.get(incarnation) ?? now,
      ]),
    );
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
    buildOwnership(epoch) {
      const {name: owner, incarnation} = members.self;
      return {owner, incarnation, epoch};
    },
    isOwn,
    listOrphans(now) {
      noteAbsent(now);
      return [...open]
        .filter(([, owner]) => isOwnerGone(owner, now))
        .map(([id, {epoch}]) => ({
          id,
          epoch,
          successor: members.rankInstances(id)[0],
        }));
    },
  };
}
