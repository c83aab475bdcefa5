/**
 * Accepts bundles of items and reads their results. A bundle is accepted as a
 * unit, owned by one instance at a time, and readable from any instance. It is
 * stored before its acceptance is confirmed to the caller.
 */
import type {Clock} from '../../common/clock.js';
import {waitFor} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import {hashText} from '../../common/ids.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {SharedTime} from '../../common/shared_time.js';
import type {StateSource} from '../../common/state_dump.js';
import {StoreError} from '../../stores/table_store.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {buildItemsName, type StoredBundle} from './bundle_rows.js';
import type {BundleStore} from './bundle_store.js';
import {
  decodeListed,
  type BundleItem,
  type ItemResult,
} from './bundle_types.js';
import type {BundleWorker} from './bundle_worker.js';
import {createTokenAllowance} from './token_allowance.js';
import {
  FULL_RETRY_DELAY_MS,
  MAX_BUNDLE_ITEMS,
  MAX_CHANGE_ATTEMPTS,
  MAX_OPEN_ITEMS,
  READ_MARGIN_MS,
  READ_POLL_INTERVAL_MS,
} from './constants.js';

/** A bundle as a caller submits it. */
export interface BundleSubmission {
  id: string;
  account: string;
  route: string;
  host: string;
  items: BundleItem[];
}

/** A request for results of a bundle. */
export interface BundleRead {
  id: string;
  account: string;
  /** Position of the first result. */
  after: number;
  /** Maximum wait for a result at that position, in ms. */
  waitMs: number;
}

/** One page of results. */
export interface BundleResults {
  total: number;
  next: number;
  results: ItemResult[];
}

/** The operations of callers on bundles. All methods throw RouterError. */
export interface Bundles extends StateSource {
  /** Resolves once the bundle is stored; idempotent. */
  submit(submission: BundleSubmission): Promise<void>;
  read(read: BundleRead, signal: AbortSignal): Promise<BundleResults>;
  fetchItemBody(id: string, itemId: string, account: string): Promise<Buffer>;
  end(id: string, account: string): Promise<void>;
}

export interface BundlesDependencies {
  clock: Clock;
  time: SharedTime;
  log: Log;
  metrics: Metrics;
  store: BundleStore;
  routing: RoutingTable;
  worker: BundleWorker;
  /** The owner of new bundles. */
  getSelf: () => {owner: string; incarnation: string};
}

/** Creates the operations of callers; `worker` runs the accepted bundles. */
export function createBundles({
  clock,
  time,
  log,
  metrics,
  store,
  routing,
  worker,
  getSelf,
}: BundlesDependencies): Bundles {
  const accepted = metrics.createCounter(
    'bundles_submitted_total',
    'Bundles handed in, by outcome: accepted, repeated, refused, unclear.',
    ['outcome'],
  );

  const allowance = createTokenAllowance({
    store,
    time,
    listOpen: store.listOpen,
  });

  /** Converts a StoreError to a RouterError with the verdict for the caller. */
  async function runOnStore<Result>(
    run: () => Promise<Result>,
  ): Promise<Result> {
    try {
      return await run();
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      const isClear = error.effect === 'none';
      throw new RouterError(
        isClear ? 'store_unavailable' : 'outcome_unknown',
        error.message,
        {verdict: isClear ? 'not-run' : 'may-have-run', cause: error},
      );
    }
  }

  async function findOwn(id: string, account: string): Promise<StoredBundle> {
    const bundle = await runOnStore(() => store.find(id));
    if (bundle && bundle.fields.account === account) return bundle;
    throw new RouterError('not_found', `there is no bundle ${id}`, {
      verdict: 'not-run',
    });
  }

  function checkSubmission({items}: BundleSubmission) {
    const ids = new Set(items.map(item => item.id));
    const isValid =
      items.length > 0 &&
      items.length <= MAX_BUNDLE_ITEMS &&
      ids.size === items.length;
    if (isValid) return;
    throw new RouterError(
      'invalid_request',
      `a bundle has 1 to ${MAX_BUNDLE_ITEMS} items with ids of their own`,
      {verdict: 'not-run', field: 'items'},
    );
  }

  /** Throws when the bundle that has this id is not the submitted one. */
  function checkRepeated(known: StoredBundle, account: string, digest: string) {
    const isSame =
      known.fields.account === account && known.fields.digest === digest;
    if (isSame) return;
    throw new RouterError('conflict', 'another bundle has this id', {
      verdict: 'not-run',
    });
  }

  /**
   * The shared time is usually known here, because the bundle was read from the
   * store just before.
   */
  function readTime(): number {
    const now = time.read();
    if (now !== undefined) return now;
    throw new RouterError('store_unavailable', 'the time is not known yet', {
      verdict: 'not-run',
    });
  }

  async function create(submission: BundleSubmission, digest: string) {
    const {id, account, route, host, items} = submission;
    const object = buildItemsName(id, digest);
    const fields = {
      account,
      route,
      host,
      routingVersion: routing.getVersion(),
      state: 'open' as const,
      total: items.length,
      tokens: sumTokens(items),
      listed: '',
      epoch: 1,
      acceptedAt: readTime(),
      object,
      digest,
    };
    const owner = {...getSelf(), epoch: 1};
    const outcome = await createOrNoteUnclear(id, fields, owner, items);
    if (outcome === 'committed') {
      worker.start({id, version: 1, fields}, items);
      return 'accepted';
    }
    const known = await store.find(id);
    if (known) checkRepeated(known, account, digest);
    return 'repeated';
  }

  /** A write without a response may have created the bundle. */
  async function createOrNoteUnclear(
    ...written: Parameters<BundleStore['create']>
  ): ReturnType<BundleStore['create']> {
    try {
      return await store.create(...written);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      if (error.effect !== 'none') worker.noteUnclear(written[0]);
      throw error;
    }
  }

  async function acceptOnce(submission: BundleSubmission): Promise<string> {
    const {id, account, items} = submission;
    const digest = hashText(JSON.stringify(items));
    const known = await store.find(id);
    if (known) {
      checkRepeated(known, account, digest);
      return 'repeated';
    }
    if (worker.countOpenItems() > MAX_OPEN_ITEMS) {
      throw new RouterError('overloaded', 'too many items are open here', {
        verdict: 'not-run',
      });
    }
    await checkAllowance(submission);
    return create(submission, digest);
  }

  /**
   * Enters the bundle in the account's token limit. No part of the bundle is
   * written before this, so each failure of the store has the effect `none`.
   */
  async function checkAllowance({id, account, route, items}: BundleSubmission) {
    const maxTokens = routing.findRouteByName(route)?.maxWaitingTokens ?? 0;
    if (maxTokens <= 0) return;
    const tokens = sumTokens(items);
    const request = {id, account, route, tokens, maxTokens};
    let outcome: 'entered' | 'full';
    try {
      outcome = await allowance.enter(request);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      throw new StoreError(error.message, 'none', error);
    }
    if (outcome === 'entered') return;
    throw new RouterError(
      'rate_limited',
      `${account} has too many tokens waiting on ${route}`,
      {verdict: 'not-run', retryAfterMs: FULL_RETRY_DELAY_MS},
    );
  }

  /** A submission is `refused` only if the bundle is certainly not stored. */
  function toOutcome(error: unknown): 'unclear' | 'refused' {
    const isRefused =
      error instanceof RouterError && error.verdict === 'not-run';
    return isRefused ? 'refused' : 'unclear';
  }

  async function readOnce({id, account, after}: BundleRead) {
    const {fields} = await findOwn(id, account);
    const count = decodeListed(fields.listed).length;
    const results =
      after < count ? await runOnStore(() => store.listResults(id, after)) : [];
    return {
      total: fields.total,
      next: after + results.length,
      results,
      isOpen: fields.state === 'open',
    };
  }

  async function pollResults(
    read: BundleRead,
    signal: AbortSignal,
  ): Promise<BundleResults> {
    const waitsUntil = clock.now() + read.waitMs;
    for (;;) {
      const {isOpen, ...page} = await readOnce(read);
      const leftMs = waitsUntil - clock.now();
      const isDone = page.results.length > 0 || !isOpen || leftMs <= 0;
      if (isDone || signal.aborted) return page;
      await waitFor(clock, Math.min(READ_POLL_INTERVAL_MS, leftMs));
    }
  }

  /**
   * Throws if the store does not respond in time. An earlier page would not do: others
   * may have read results since.
   */
  function awaitInTime<Result>(
    polled: Promise<Result>,
    timeoutMs: number,
  ): Promise<Result> {
    return new Promise((resolve, reject) => {
      const cancelTimer = clock.schedule(timeoutMs, () => {
        const message = `the store did not respond within ${timeoutMs} ms`;
        const verdict = 'not-run';
        reject(new RouterError('store_unavailable', message, {verdict}));
      });
      polled.then(resolve, reject).finally(cancelTimer);
    });
  }

  return {
    async submit(submission) {
      checkSubmission(submission);
      const {id, account, items} = submission;
      const startedAt = clock.now();
      let outcome: string;
      try {
        outcome = await runOnStore(() => acceptOnce(submission));
      } catch (error) {
        outcome = toOutcome(error);
        accepted.inc({outcome});
        throw error;
      }
      accepted.inc({outcome});
      const tookMs = Math.round(clock.now() - startedAt);
      log.info(
        {req: id, account, items: items.length, outcome, tookMs},
        'bundle accepted',
      );
    },
    read: (read, signal) =>
      awaitInTime(pollResults(read, signal), read.waitMs + READ_MARGIN_MS),
    async fetchItemBody(id, itemId, account) {
      const bundle = await findOwn(id, account);
      const items =
        bundle.fields.state === 'ended'
          ? undefined
          : await runOnStore(() => store.fetchItems(bundle));
      const item = items?.find(each => each.id === itemId);
      if (item) return Buffer.from(item.body, 'base64');
      throw new RouterError('not_found', `there is no item ${itemId}`, {
        verdict: 'not-run',
      });
    },
    async end(id, account) {
      for (let attempt = 0; attempt < MAX_CHANGE_ATTEMPTS; attempt++) {
        const bundle = await findOwn(id, account);
        if (bundle.fields.state !== 'open') return;
        const {outcome, owner} = await runOnStore(() => store.end(bundle));
        if (outcome === 'conflict') continue;
        worker.stopOwner(id, owner);
        log.info({bundle: id, account}, 'bundle ended by its account');
        return;
      }
      throw new RouterError('store_unavailable', 'the bundle is changing', {
        verdict: 'may-have-run',
      });
    },
    describeState: () => worker.describeState(),
  };
}

function sumTokens(items: readonly BundleItem[]): number {
  return items.reduce((sum, {tokens}) => sum + tokens, 0);
}
