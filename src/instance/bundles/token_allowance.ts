/**
 * Holds the tokens that an account has waiting on a route within the route's
 * bound, over all instances.
 *
 * Failure it answers: instances that each look at what is open, and accept,
 * accept together what none would alone; an instance that dies after it has
 * counted a bundle, or before, leaves a count that is wrong for good. So a
 * bundle is entered in the account's one row before it is written, on condition
 * that the row has not changed since it was read, and it is never taken out by
 * whoever is done with it: whoever finds the row full looks at the bundles
 * themselves. One that was entered and never written drops out then.
 */
import type {SharedTime} from '../../common/shared_time.js';
import {
  isFitting,
  updateEntry,
  type BundleView,
  type WaitingBundle,
  type WaitingBundles,
} from '../../decisions/waiting_tokens.js';
import {StoreError} from '../../stores/table_store.js';
import type {StoredBundle} from './bundle_rows.js';
import type {BundleStore} from './bundle_store.js';
import {decodeListed} from './bundle_types.js';
import {MAX_CHANGE_TRIES, MAX_WAITING_BUNDLES} from './constants.js';

/** A bundle that is about to be accepted. */
export interface AllowanceRequest {
  id: string;
  account: string;
  route: string;
  tokens: number;
  /** Bound of the account on the route, in tokens. */
  maxTokens: number;
}

/** Decides whether bundles fit. Throws StoreError. */
export interface TokenAllowance {
  /** Enters a bundle; entering it again changes nothing. */
  enter(request: AllowanceRequest): Promise<'entered' | 'full'>;
}

/** What the allowance works with. */
export interface TokenAllowanceDependencies {
  store: Pick<BundleStore, 'find' | 'fetchWaiting' | 'putWaiting'>;
  time: Pick<SharedTime, 'read'>;
  /** Ids of the bundles that are open in the fleet. */
  listOpen: () => Promise<string[]>;
}

/** Keeps nothing in memory. */
export function createTokenAllowance({
  store,
  time,
  listOpen,
}: TokenAllowanceDependencies): TokenAllowance {
  /** What was accepted before the route had a bound. */
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
    const looked = await Promise.all(
      Object.entries(waiting).map(async ([id, entry]) => {
        const seen = toView(await store.find(id));
        return [id, updateEntry(entry, seen, now)] as const;
      }),
    );
    const left = looked.filter(([, entry]) => entry !== undefined);
    return Object.fromEntries(left) as Record<string, WaitingBundle>;
  }

  async function writeEntry(
    request: AllowanceRequest,
    now: number,
  ): Promise<'entered' | 'full' | 'conflict'> {
    const {id, account, route, tokens, maxTokens} = request;
    const held = await store.fetchWaiting(account, route);
    let waiting = held?.waiting ?? (await collectOpen(request, now));
    const isCrowded = Object.keys(waiting).length >= MAX_WAITING_BUNDLES;
    if (isCrowded || !isFitting(waiting, id, tokens, maxTokens)) {
      waiting = await refreshEntries(waiting, now);
    }
    if (!isFitting(waiting, id, tokens, maxTokens)) return 'full';
    if (Object.keys(waiting).length >= MAX_WAITING_BUNDLES) return 'full';
    const entry = {tokens, left: tokens, at: now};
    return (await store.putWaiting(account, route, held?.version, {
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
      for (let attempt = 0; attempt < MAX_CHANGE_TRIES; attempt++) {
        const outcome = await writeEntry(request, now);
        if (outcome !== 'conflict') return outcome;
      }
      throw new StoreError('too many bundles come at once', 'none');
    },
  };
}

function toView(bundle: StoredBundle | undefined): BundleView {
  if (!bundle) return undefined;
  const {state, total, listed} = bundle.fields;
  const isOpen = state === 'open';
  return {isOpen, total, listed: decodeListed(listed).length};
}
