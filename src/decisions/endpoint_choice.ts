/**
 * Which endpoint a request goes to: the one where its first token is predicted
 * to come soonest.
 *
 * Pattern of load: prompts of very different length, hot prefixes, and load
 * reports that lag by seconds. Counting requests sends a question behind a
 * long prompt; following the reports sends all of them to the endpoint that
 * was idle a second ago. The prediction counts the work sent and not yet done,
 * what the prompt would cost there given its cached prefix, the sequences that
 * lengthen its steps (RUNNING_COST_MS), and the endpoint's slowness.
 * Affinity is bounded by itself: once the queue at a hot prefix's endpoint
 * costs more than prefilling elsewhere, elsewhere wins and has it cached next.
 *
 * Engines get at most MAX_PREFILL_BACKLOG_MS of prefill in advance: enough to
 * keep them busy over several round trips, little enough that order and
 * fairness are decided here and not by arrival inside the engine.
 */
import type {EndpointTracker} from './endpoint_tracker.js';
import type {LatencyModel} from './latency_model.js';
import type {Mechanisms} from './mechanisms.js';
import {
  MAX_PREFILL_BACKLOG_MS,
  RUNNING_COST_MS,
} from './scheduler_constants.js';
import type {PoolLimits, ScheduledRequest} from './scheduler_types.js';

/** Predicted time to the first byte, with what it costs others there. */
export function estimateCost(
  tracker: EndpointTracker,
  request: ScheduledRequest,
  {latency, mechanisms}: ChoiceContext,
  now: number,
): number {
  if (!mechanisms.prediction) return tracker.countRunning();
  const uncached = tracker.estimateUncached(request, now);
  const alone =
    latency.estimateFirstByte(uncached) +
    RUNNING_COST_MS * tracker.countRunning();
  const slowness = Math.max(1, tracker.health.getSlowness());
  return tracker.estimateBacklog(now) + alone * slowness;
}

/** What the choice depends on. */
export interface ChoiceContext {
  latency: LatencyModel;
  limits: PoolLimits;
  mechanisms: Readonly<Mechanisms>;
}

/** Slots that nothing holds. */
export function countFree(
  tracker: EndpointTracker,
  {limits, mechanisms}: ChoiceContext,
): number {
  const most = tracker.description.slots ?? limits.maxConcurrency;
  const limit = mechanisms.learnedLimit ? tracker.limit.get(most) : most;
  return Math.max(0, limit - tracker.countRunning());
}

/** Whether a request may start there now; an ejected one takes one probe. */
export function isOpen(tracker: EndpointTracker, now: number): boolean {
  const state = tracker.health.getState();
  return state === 'healthy' || tracker.health.shouldProbe(now);
}

/** The endpoint for an online request, or undefined when it must wait. */
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
    if (countFree(tracker, context) === 0) continue;
    if (tracker.estimateBacklog(now) > maxBacklog) continue;
    const cost = estimateCost(tracker, request, context, now);
    if (cost >= least) continue;
    chosen = tracker;
    least = cost;
  }
  return chosen;
}

/** Endpoints a request may use: not those that failed it, unless all did. */
export function selectCandidates(
  trackers: readonly EndpointTracker[],
  request: ScheduledRequest,
): readonly EndpointTracker[] {
  if (request.avoid.length === 0) return trackers;
  const others = trackers.filter(
    ({description}) => !request.avoid.includes(description.address),
  );
  return others.length > 0 ? others : trackers;
}
