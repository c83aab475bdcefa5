/**
 * Decides from which job the next segment is claimed.
 *
 * Load pattern: several client accounts have open bundles of very different
 * sizes and due times, on a capacity that changes from second to second.
 * Without an order, the first large bundle holds the endpoints for an hour
 * while a small one passes its due time. By due time alone, an account that
 * requests near due times takes everything. By fair share alone, a job that
 * would be late waits for jobs that have all day.
 *
 * Accounts take turns by weighted service (start-time fair queueing): an
 * account that returns starts level with the least served one, so it
 * accumulates no claim while it is idle. Within an account, the job with the
 * least laxity goes first. Laxity is the time until the due time, minus the
 * time that the remaining items take.
 *
 * A job with a laxity below URGENT_LAXITY_MS goes before its account's turn, as
 * long as its account is at most `urgentCreditItems` of weighted service ahead
 * of the least served one. The account pays for this later, so requesting near
 * due times gains it this credit only once.
 */

/** An open job with unclaimed segments. Times are wall-clock times in ms. */
export interface JobCandidate {
  jobId: string;
  account: string;
  /** Share relative to other accounts. */
  weight: number;
  dueAt: number;
  createdAt: number;
  remainingItems: number;
}

/** Laxity below which a job goes before its account's turn. */
export const URGENT_LAXITY_MS = 10 * 60_000;

/** Rate assumed before the first measurement, in items per second. */
const INITIAL_ITEMS_PER_SECOND = 50;

/** Orders the segments of one service on one instance. */
export interface SegmentOrder {
  /** Chooses the job to claim a segment from; undefined without candidates. */
  chooseJob(
    candidates: readonly JobCandidate[],
    wallNow: number,
  ): JobCandidate | undefined;
  /** Charges an account for claimed items. */
  noteClaimed(account: string, items: number, weight: number): void;
  /**
   * Records that `items` ended within `elapsedMs`; laxity is estimated from it.
   */
  noteRate(items: number, elapsedMs: number): void;
  describe(): object;
}

/**
 * Creates an order without history. Urgent jobs may run up to
 * `urgentCreditItems` ahead of their account's turn.
 */
export function createSegmentOrder(urgentCreditItems: number): SegmentOrder {
  const served = new Map<string, number>();
  let present = new Set<string>();
  let serviceFloor = 0;
  let itemsPerSecond = INITIAL_ITEMS_PER_SECOND;

  function getServed(account: string): number {
    return served.get(account) ?? 0;
  }

  function computeLaxity(job: JobCandidate, wallNow: number): number {
    const workMs = (job.remainingItems / itemsPerSecond) * 1000;
    return job.dueAt - wallNow - workMs;
  }

  /**
   * Raises the service of returning accounts to the least of those that stayed.
   * An account that was served more keeps its higher value. Returns the least
   * service of all accounts.
   */
  function updateServiceFloor(candidates: readonly JobCandidate[]): number {
    const accounts = new Set(candidates.map(({account}) => account));
    const stayed = [...accounts].filter(account => present.has(account));
    if (stayed.length > 0) serviceFloor = Math.min(...stayed.map(getServed));
    for (const account of accounts) {
      if (present.has(account)) continue;
      served.set(account, Math.max(getServed(account), serviceFloor));
    }
    for (const [account, amount] of served) {
      if (!accounts.has(account) && amount <= serviceFloor)
        served.delete(account);
    }
    present = accounts;
    return Math.min(...[...accounts].map(getServed));
  }

  return {
    chooseJob(candidates, wallNow) {
      const least = updateServiceFloor(candidates);
      const ranked = candidates
        .map(job => ({job, laxity: computeLaxity(job, wallNow)}))
        .sort((a, b) => a.laxity - b.laxity || compareJobs(a.job, b.job));
      const urgent = ranked.find(
        ({job, laxity}) =>
          laxity < URGENT_LAXITY_MS &&
          getServed(job.account) - least < urgentCreditItems,
      );
      if (urgent) return urgent.job;
      return ranked.find(({job}) => getServed(job.account) === least)?.job;
    },
    noteClaimed(account, items, weight) {
      served.set(account, getServed(account) + items / weight);
    },
    noteRate(items, elapsedMs) {
      if (items === 0 || !Number.isFinite(elapsedMs)) return;
      const measured = (items / elapsedMs) * 1000;
      itemsPerSecond = Math.max(0.1, 0.8 * itemsPerSecond + 0.2 * measured);
    },
    describe: () => ({
      itemsPerSecond,
      served: Object.fromEntries(served),
    }),
  };
}

function compareJobs(a: JobCandidate, b: JobCandidate): number {
  return a.createdAt - b.createdAt || (a.jobId < b.jobId ? -1 : 1);
}
