/**
 * Decides when an instance needs a presence check of the whole fleet.
 *
 * Load pattern: many instances are lost at once, in any combination. Heartbeats
 * go to a few neighbours, and one heartbeat carries a few updates, so a survivor
 * whose neighbours are all gone would learn of the others one after the other,
 * or not at all. It also cannot tell whether they are lost or it is cut off. In
 * both cases accepted work waits: nobody knows that its owner is gone, or nobody
 * is sure enough to take it over.
 *
 * Each lost instance has a nearest survivor before it on the ring of heartbeats.
 * If that survivor has other neighbours that respond, two missed responses are
 * enough. Otherwise it sees one of these signs within as many rounds, and asks
 * all instances through the store.
 */

/** What one instance sees of a loss. */
export interface LossSigns {
  /** Heartbeat rounds in a row that most targets, or all neighbours, missed. */
  silentRounds: number;
  /** Suspected instances that no presence check has found absent. */
  unconfirmed: number;
  /** Whether most of the registered instances count as live. */
  hasMajority: boolean;
}

/** Why an instance needs a presence check. */
export type LossSign = 'silent targets' | 'many suspected' | 'no majority';

/** One lost round of heartbeats is no sign: the instance may have been paused. */
const MIN_SILENT_ROUNDS = 2;

/** Suspected instances of which one heartbeat can notify a peer. */
export const MAX_PROPAGATED = 12;

/** Returns the sign that calls for a presence check; undefined if there is none. */
export function detectLoss({
  silentRounds,
  unconfirmed,
  hasMajority,
}: LossSigns): LossSign | undefined {
  if (silentRounds >= MIN_SILENT_ROUNDS) return 'silent targets';
  if (unconfirmed > MAX_PROPAGATED) return 'many suspected';
  if (unconfirmed > 0 && !hasMajority) return 'no majority';
  return undefined;
}

/** The responses to one round of heartbeats. */
export interface HeartbeatRound {
  /** Neighbours on the ring that counted as live, and those that responded. */
  neighbours: number;
  neighboursResponded: number;
  /** All targets that counted as live, and those that responded. */
  targets: number;
  targetsResponded: number;
}

/**
 * Whether more than half of the targets missed a round. Then the fault may be at
 * this instance.
 */
export function hasMostlyFailed({
  targets,
  targetsResponded,
}: HeartbeatRound): boolean {
  return targets > 2 && targetsResponded * 2 < targets;
}

/** Whether a round is a sign of the loss of more than single instances. */
export function isSilentRound(round: HeartbeatRound): boolean {
  const {neighbours, neighboursResponded} = round;
  const isAlone = neighbours > 0 && neighboursResponded === 0;
  return isAlone || hasMostlyFailed(round);
}
