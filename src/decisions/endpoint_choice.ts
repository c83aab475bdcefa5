/**
 * Chooses the endpoint for a request: the one with the earliest predicted first
 * token.
 *
 * Load pattern: prompts of very different lengths, hot prefixes, and load
 * reports that lag by seconds. Choosing by the number of running requests sends
 * a short request behind a long prompt. Choosing by load reports sends all
 * requests to the endpoint that was idle a second ago.
 *
 * The prediction counts the work that was sent and is not yet done, the cost of
 * the prompt given its cached prefix, the sequences that lengthen each step of
 * the engine (RUNNING_COST_MS), and the endpoint's slowness, or its speed and
 * current pace where it reports paces (endpoint_pace.ts). This bounds prefix
 * affinity as well: if waiting at the endpoint of a hot prefix costs more than
 * prefilling the prefix elsewhere, another endpoint is chosen and has it cached
 * from then on.
 *
 * Engines get at most MAX_PREFILL_BACKLOG_MS of prefill in advance. This keeps
 * them busy over several round trips, while the scheduler still decides order
 * and fairness instead of the order of arrival inside the engine.
 */
import type {EndpointTracker} from './endpoint_tracker.js';
import type {LatencyModel} from './latency_model.js';
import type {Mechanisms} from './mechanisms.js';
import {
  MAX_PREFILL_BACKLOG_MS,
  PACED_RUNNING_SHARE,
  RUNNING_COST_MS,
} from './scheduler_constants.js';
import type {PoolLimits, ScheduledRequest} from './scheduler_types.js';

/**
 * Predicts the time to the first byte of a request on an endpoint, including
 * the delay from sequences that already run there.
 */
export function estimateCost(
  tracker: EndpointTracker,
  request: ScheduledRequest,
  {latency, mechanisms}: ChoiceContext,
  now: number,
): number {
  if (!mechanisms.prediction) return tracker.countRunning();
  const uncached = tracker.estimateUncached(request, now);
  const idleFirstByteMs = latency.estimateFirstByte(uncached);
  const runningMs = tracker.pace.hasReported()
    ? PACED_RUNNING_SHARE * idleFirstByteMs
    : RUNNING_COST_MS;
  const factor = tracker.estimateFactor(now);
  const firstByteMs = idleFirstByteMs + runningMs * tracker.countRunning();
  return tracker.estimateBacklog(now) + firstByteMs * factor;
}

/** Pool-wide inputs of the choice. */
export interface ChoiceContext {
  latency: LatencyModel;
  limits: PoolLimits;
  mechanisms: Readonly<Mechanisms>;
}

/** Counts the slots of an endpoint that may be granted now. */
export function countFreeSlots(
  tracker: EndpointTracker,
  {limits, mechanisms}: ChoiceContext,
  now: number,
): number {
  const maximum = tracker.description.slots ?? limits.maxConcurrency;
  const limit = mechanisms.learnedLimit ? tracker.limit.get(maximum) : maximum;
  const free = Math.max(0, limit - tracker.countRunning());
  if (free === 0 || !limits.warmUp) return free;
  return Math.min(free, tracker.warmUp.countAllowed(limits.warmUp, now));
}

/** Counts the slots of endpoints, in use or free. */
export function countSlots(
  trackers: readonly EndpointTracker[],
  context: ChoiceContext,
  now: number,
): number {
  return trackers.reduce(
    (sum, tracker) =>
      sum + tracker.countRunning() + countFreeSlots(tracker, context, now),
    0,
  );
}

/**
 * Whether a request may start there now; an ejected endpoint accepts one probe.
 */
export function isOpen(tracker: EndpointTracker, now: number): boolean {
  const state = tracker.health.getState();
  return state === 'healthy' || tracker.health.shouldProbe(now);
}

/** Whether an endpoint's memory has room for a request. */
export function hasMemoryFor(
  {memory}: EndpointTracker,
  request: ScheduledRequest,
  {limits}: ChoiceContext,
  now: number,
): boolean {
  if (!limits.memory) return true;
  return memory.countMissing(request, limits.memory, now) <= 0;
}

/** Whether a request could start on some endpoint if that had the memory. */
export function isMemoryMissing(
  trackers: readonly EndpointTracker[],
  request: ScheduledRequest,
  context: ChoiceContext,
  now: number,
): boolean {
  if (!context.limits.memory) return false;
  return trackers.some(
    tracker =>
      countFreeSlots(tracker, context, now) > 0 &&
      !hasMemoryFor(tracker, request, context, now),
  );
}

/** Chooses the endpoint for an online request; undefined if it must wait. */
export function chooseForOnline(
  trackers: readonly EndpointTracker[],
  request: ScheduledRequest,
  context: ChoiceContext,
  now: number,
): EndpointTracker | undefined {
  const maxBacklog = context.mechanisms.backlogBound
    ? MAX_PREFILL_BACKLOG_MS
    : Infinity;
  let chosen: EndpointTracker | undefined;
  let least = Infinity;
  for (const tracker of trackers) {
    if (countFreeSlots(tracker, context, now) === 0) continue;
    if (tracker.estimateBacklog(now) > maxBacklog) continue;
    if (!hasMemoryFor(tracker, request, context, now)) continue;
    const cost = estimateCost(tracker, request, context, now);
    if (cost >= least) continue;
    chosen = tracker;
    least = cost;
  }
  return chosen;
}

/**
 * Selects the endpoints of the version that a request needs, without those that failed
 * it, unless all did.
 */
export function selectCandidates(
  trackers: readonly EndpointTracker[],
  {version, avoid}: ScheduledRequest,
): readonly EndpointTracker[] {
  const suitable =
    version === undefined
      ? trackers
      : trackers.filter(({description}) => description.version === version);
  if (avoid.length === 0) return suitable;
  const others = suitable.filter(
    ({description}) => !avoid.includes(description.address),
  );
  return others.length > 0 ? others : suitable;
}
