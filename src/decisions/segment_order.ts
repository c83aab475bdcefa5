/**
 * Which job's segment is worked next.
 *
 * Pattern of load: several client accounts have bundles open at once, of very
 * different sizes and due times, on capacity that changes from one second to
 * the next. Without an order, the first large bundle holds the endpoints for
 * an hour while a small one passes its due time; by due time alone, an account
 * that names near due times takes everything; by fair share alone, a job that
 * would be late waits its turn behind jobs that have all day.
 *
 * Accounts take turns by weighted service (start-time fair queueing: an
 * account that comes back starts level with the least served one, so it saves
 * up no claim while it is away). Within an account the least laxity goes
 * first: due time less now less the time that its remaining items take. A job
 * whose laxity is below URGENT_LAXITY_MS goes before its account's turn, as
 * long as its account is not more than `urgentCreditItems` of weighted service
 * ahead of the least served one; what it takes ahead of its turn it gives back
 * afterwards, so naming near due times gains an account that much, once.
 */

/** An open job with segments to claim. Times are wall time in ms. */
export interface JobCandidate {
  jobId: string;
  account: string;
  /** Share relative to other accounts. */
  weight: number;
  dueAt: number;
  createdAt: number;
  remainingItems: number;
}

/** Below this laxity a job goes before its account's turn. */
export const URGENT_LAXITY_MS = 10 * 60_000;

/** Rate assumed before any was measured, in items a second. */
const INITIAL_ITEMS_PER_SECOND = 50;

/** The order of one service's segments on one instance. */
export interface SegmentOrder {
  /** The job to claim a segment of; undefined when there is no candidate. */
  chooseJob(
    candidates: readonly JobCandidate[],
    wallNow: number,
  ): JobCandidate | undefined;
  /** Charges an account for items claimed. */
  noteClaimed(account: string, items: number, weight: number): void;
  /** Items that ended within `elapsedMs`; feeds the estimate of laxity. */
  noteRate(items: number, elapsedMs: number): void;
  describe(): object;
}

/** `urgentCreditItems`: items that urgent jobs may run ahead of their turn. */
export function createSegmentOrder(urgentCreditItems: number): SegmentOrder {
  const served = new Map<string, number>();
  let present = new Set<string>();
  let floor = 0;
  let itemsPerSecond = INITIAL_ITEMS_PER_SECOND;

  function getServed(account: string): number {
    return served.get(account) ?? 0;
  }

  function computeLaxity(job: JobCandidate, wallNow: number): number {
    const workMs = (job.remainingItems / itemsPerSecond) * 1000;
    return job.dueAt - wallNow - workMs;
  }

  /**
   * Accounts that come back start no lower than those that stayed; what they
   * owe from before is not forgiven. Returns the least service of all.
   */
  function startLevel(candidates: readonly JobCandidate[]): number {
    const now = new Set(candidates.map(({account}) => account));
    const stayed = [...now].filter(account => present.has(account));
    if (stayed.length > 0) floor = Math.min(...stayed.map(getServed));
    for (const account of now) {
      if (present.has(account)) continue;
      served.set(account, Math.max(getServed(account), floor));
    }
    for (const [account, amount] of served) {
      if (!now.has(account) && amount <= floor) served.delete(account);
    }
    present = now;
    return Math.min(...[...now].map(getServed));
  }

  return {
    chooseJob(candidates, wallNow) {
      const least = startLevel(candidates);
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
