/**
 * Limits the tokens that an account has waiting on a route, across all
 * instances.
 *
 * If each instance checked the open bundles and then accepted, instances would
 * together accept more than the limit. If instances incremented and decremented
 * a counter, an instance that crashes around the update would leave the count
 * wrong permanently.
 *
 * Therefore a bundle is entered in the account's row before it is written, by a
 * conditional write that fails if the row has changed since it was read. An
 * instance that has finished a bundle never removes the entry. An instance that
 * finds the row full reads the bundles themselves and updates the entries; a
 * bundle that was entered and never written is removed then.
 */
import type {SharedTime} from '../../common/shared_time.js';
import {
  hasRoomFor,
  updateEntry,
  type StoredBundleState,
  type WaitingBundle,
  type WaitingBundles,
} from '../../decisions/waiting_tokens.js';
import {StoreError} from '../../stores/table_store.js';
import type {StoredBundle} from './bundle_rows.js';
import type {BundleStore} from './bundle_store.js';
import {decodeListed} from './bundle_types.js';
import {MAX_CHANGE_ATTEMPTS, MAX_WAITING_BUNDLES} from './constants.js';

/** A bundle that is about to be accepted. */
export interface AllowanceRequest {
  id: string;
  account: string;
  route: string;
  tokens: number;
  /** Limit for the account on the route. */
  maxTokens: number;
}

/** Decides whether bundles fit into the limit. Throws StoreError. */
export interface TokenAllowance {
  /** Enters a bundle; idempotent. */
  enter(request: AllowanceRequest): Promise<'entered' | 'full'>;
}

export interface TokenAllowanceDependencies {
  store: Pick<BundleStore, 'find' | 'fetchWaiting' | 'putWaiting'>;
  time: Pick<SharedTime, 'read'>;
  /** Lists the ids of all open bundles of the fleet. */
  listOpen: () => Promise<string[]>;
}

/** Creates an allowance that has no state in memory. */
export function createTokenAllowance({
  store,
  time,
  listOpen,
}: TokenAllowanceDependencies): TokenAllowance {
  /**
   * Collects the open bundles that were accepted before the route had a limit.
   */
  async function collectOpen(
    {account, route}: AllowanceRequest,
    now: number,
  ): Promise<WaitingBundles> {
    const found = await Promise.all((await listOpen()).map(store.find));
    const own = found.filter(
      bundle =>
        bundle?.fields.account === account && bundle.fields.route === route,
    ) as StoredBundle[];
    const entries = own.map(({id, fields: {tokens}}) => [
      id,
      {tokens, left: tokens, at: now},
    ]);
    return Object.fromEntries(entries) as WaitingBundles;
  }

  async function refreshEntries(
    waiting: WaitingBundles,
    now: number,
  ): Promise<WaitingBundles> {
    const updated = await Promise.all(
      Object.entries(waiting).map(async ([id, entry]) => {
        const view = toView(await store.find(id));
        return [id, updateEntry(entry, view, now)] as const;
      }),
    );
    const left = updated.filter(([, entry]) => entry !== undefined);
    return Object.fromEntries(left) as Record<string, WaitingBundle>;
  }

  async function writeEntry(
    request: AllowanceRequest,
    now: number,
  ): Promise<'entered' | 'full' | 'conflict'> {
    const {id, account, route, tokens, maxTokens} = request;
    const stored = await store.fetchWaiting(account, route);
    let waiting = stored?.waiting ?? (await collectOpen(request, now));
    const isRowFull = Object.keys(waiting).length >= MAX_WAITING_BUNDLES;
    if (isRowFull || !hasRoomFor(waiting, id, tokens, maxTokens)) {
      waiting = await refreshEntries(waiting, now);
    }
    if (!hasRoomFor(waiting, id, tokens, maxTokens)) return 'full';
    if (Object.keys(waiting).length >= MAX_WAITING_BUNDLES) return 'full';
    const entry = {tokens, left: tokens, at: now};
    return (await store.putWaiting(account, route, stored?.version, {
      ...waiting,
      [id]: entry,
    }))
      ? 'entered'
      : 'conflict';
  }

  return {
    async enter(request) {
      const now = time.read();
      if (now === undefined) throw new StoreError('no time is known', 'none');
      for (let attempt = 0; attempt < MAX_CHANGE_ATTEMPTS; attempt++) {
        const outcome = await writeEntry(request, now);
        if (outcome !== 'conflict') return outcome;
      }
      throw new StoreError('too many bundles come at once', 'none');
    },
  };
}

function toView(bundle: StoredBundle | undefined): StoredBundleState {
  if (!bundle) return undefined;
  const {state, total, listed} = bundle.fields;
  const isOpen = state === 'open';
  return {isOpen, total, listed: decodeListed(listed).length};
}
