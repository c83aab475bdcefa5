/**
 * Tracks the endpoints of a pool and which requests hold their slots. An
 * endpoint that leaves the pool keeps its running requests and gets no new
 * ones.
 */
import {isOpen} from './endpoint_choice.js';
import {
  createEndpointTracker,
  type EndpointTracker,
} from './endpoint_tracker.js';
import type {LatencyModel} from './latency_model.js';
import type {Mechanisms} from './mechanisms.js';
import {MAX_EJECTED_SHARE} from './scheduler_constants.js';
import type {
  EndpointDescription,
  ScheduledRequest,
  SchedulerOutcome,
} from './scheduler_types.js';

/** Endpoints by address and held slots by request id. */
export interface SlotLedger {
  /** Replaces the endpoints that accept new work. */
  setEndpoints(endpoints: readonly EndpointDescription[], now: number): void;
  countListed(): number;
  /** Whether an endpoint of this version accepts new work. */
  hasVersion(version: string): boolean;
  /** Endpoints that may get new work now. */
  listOpen(now: number): EndpointTracker[];
  find(address: string): EndpointTracker | undefined;
  /** The endpoint on which a request holds a slot. */
  findHolder(requestId: string): EndpointTracker | undefined;
  add(request: ScheduledRequest, tracker: EndpointTracker, now: number): void;
  /** Counts a slot that another dispatcher granted. */
  adopt(request: ScheduledRequest, address: string, now: number): void;
  /** Frees a request's slot and returns the request; ignores unknown ids. */
  release(
    requestId: string,
    outcome: SchedulerOutcome,
    now: number,
  ): ScheduledRequest | undefined;
  checkProgress(now: number): void;
  describe(now: number): object[];
}

/** Creates a ledger without endpoints. */
export function createSlotLedger(
  latency: LatencyModel,
  mechanisms: Readonly<Mechanisms>,
): SlotLedger {
  let listed: EndpointTracker[] = [];
  const trackers = new Map<string, EndpointTracker>();
  const holders = new Map<string, EndpointTracker>();

  function getTracker(
    description: EndpointDescription,
    now: number,
  ): EndpointTracker {
    const held = trackers.get(description.address);
    const tracker =
      held ?? createEndpointTracker(description, latency, mechanisms, now);
    tracker.description = description;
    tracker.warmUp.noteColdUntil(description.coldUntil ?? -Infinity);
    trackers.set(description.address, tracker);
    return tracker;
  }

  function removeIfDone(tracker: EndpointTracker) {
    const isDone = !tracker.isListed && tracker.countRunning() === 0;
    if (!isDone) return;
    trackers.delete(tracker.description.address);
    latency.paces.removeEndpoint(tracker.description.address);
  }

  return {
    setEndpoints(next, now) {
      listed = next.map(each => getTracker(each, now));
      const addresses = new Set(next.map(({address}) => address));
      for (const [address, tracker] of trackers) {
        tracker.isListed = addresses.has(address);
        removeIfDone(tracker);
      }
    },
    countListed: () => listed.length,
    hasVersion: version =>
      listed.some(({description}) => description.version === version),
    /**
     * If more than MAX_EJECTED_SHARE of the reachable endpoints are closed, the cause is
     * not the endpoints, and all of them get work.
     */
    listOpen(now) {
      if (!mechanisms.ejection) return listed;
      const reachable = listed.filter(({health}) => !health.isUnreachable(now));
      const open = reachable.filter(tracker => isOpen(tracker, now));
      const allowed = Math.max(
        Math.min(1, reachable.length - 1),
        Math.floor(reachable.length * MAX_EJECTED_SHARE),
      );
      return reachable.length - open.length > allowed ? reachable : open;
    },
    find: address => trackers.get(address),
    findHolder: requestId => holders.get(requestId),
    add(request, tracker, now) {
      tracker.addSlot(request, now);
      holders.set(request.id, tracker);
    },
    adopt(request, address, now) {
      const tracker =
        trackers.get(address) ?? getTracker({address, failureDomain: ''}, now);
      if (!listed.includes(tracker)) tracker.isListed = false;
      tracker.adoptSlot(request, now);
      holders.set(request.id, tracker);
    },
    release(requestId, outcome, now) {
      const tracker = holders.get(requestId);
      if (!tracker) return undefined;
      holders.delete(requestId);
      const request = tracker.releaseSlot(requestId, outcome, now);
      removeIfDone(tracker);
      return request;
    },
    checkProgress(now) {
      for (const tracker of listed) tracker.checkProgress(now);
    },
    describe: now => [...trackers.values()].map(each => each.describe(now)),
  };
}
