/**
 * Tracks the endpoints by their registrations in the store. An endpoint whose
 * registration is missing has left, unless the registration may have lapsed
 * while the store was unavailable. In that case the endpoint is retained until
 * it has had time to register again.
 */
import type {Clock} from '../../common/clock.js';
import type {Log} from '../../common/log.js';
import {
  shouldRetainMissing,
  mergeAnswerPeriods,
  REGISTRATION_RETURN_MS,
  type AnswerPeriod,
} from '../../decisions/store_answers.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {INTERVALS_TO_LAPSE} from './constants.js';
import type {WitnessReport} from './members.js';

/**
 * A change of one registration. Without `endpoint` the registration was
 * removed.
 */
export interface RegistrationChange {
  name: string;
  endpoint?: ListedInstance;
}

/**
 * Receives the registrations, and a call of `noteAnswer` for each response of
 * the store before its content.
 */
export interface RegistrationListener {
  noteAnswer(): void;
  reset(endpoints: readonly ListedInstance[]): void;
  change(changes: readonly RegistrationChange[]): void;
}

/** The endpoints known to this instance. */
export interface EndpointDirectory extends RegistrationListener {
  list(): ListedInstance[];
  /** Whether the registrations have been read at least once. */
  isKnown(): boolean;
  /**
   * The period in which the store answered this instance or a peer, as far as
   * known.
   */
  computeAnswerPeriod(): AnswerPeriod | undefined;
  /**
   * Removes missing endpoints that can no longer be expected to register again.
   */
  expire(now: number): void;
}

export interface EndpointDirectoryDependencies {
  clock: Clock;
  log: Log;
  /** Interval between two renewals of a registration, in ms. */
  heartbeatMs: number;
  /**
   * The newest reports of peers, with the periods in which the store answered
   * them.
   */
  listReports: () => readonly Pick<WitnessReport, 'storeRun'>[];
  /** Called after each change. */
  onChange: () => void;
}

/** Creates a directory without endpoints. */
export function createEndpointDirectory({
  clock,
  log,
  heartbeatMs,
  listReports,
  onChange,
}: EndpointDirectoryDependencies): EndpointDirectory {
  const lapseMs = INTERVALS_TO_LAPSE * heartbeatMs;
  const endpoints = new Map<string, ListedInstance>();
  const missing = new Set<string>();
  let ownPeriod: AnswerPeriod | undefined;
  let isKnown = false;

  function computeAnswerPeriod(): AnswerPeriod | undefined {
    return listReports().reduce(
      (old, {storeRun}) =>
        storeRun ? mergeAnswerPeriods(old, storeRun, lapseMs) : old,
      ownPeriod,
    );
  }

  function isLapsePossible(now: number): boolean {
    const period = computeAnswerPeriod();
    return period !== undefined && shouldRetainMissing(period, lapseMs, now);
  }

  function scheduleExpiry(now: number) {
    const from = computeAnswerPeriod()?.from ?? now;
    const waitMs = from + REGISTRATION_RETURN_MS - now;
    // While the store is silent there is nothing to schedule: its next
    // response, to this instance or to a peer, decides.
    if (waitMs > 0) clock.schedule(waitMs, () => expire(clock.now()));
  }

  function note(endpoint: ListedInstance) {
    endpoints.set(endpoint.name, endpoint);
    missing.delete(endpoint.name);
  }

  function remove(name: string, now: number) {
    const endpoint = endpoints.get(name);
    if (!endpoint || missing.has(name)) return;
    if (!isLapsePossible(now)) {
      endpoints.delete(name);
      return;
    }
    missing.add(name);
    log.info(
      {name, state: endpoint.state},
      'registration missing after a store outage; endpoint retained until it can register again',
    );
  }

  function expire(now: number) {
    if (missing.size === 0) return;
    if (isLapsePossible(now)) {
      scheduleExpiry(now);
      return;
    }
    for (const name of missing) endpoints.delete(name);
    log.info(
      {endpoints: [...missing]},
      'lapsed registrations were not renewed in time; endpoints removed',
    );
    missing.clear();
    onChange();
  }

  /**
   * Applies one response of the store and schedules the expiry of endpoints
   * that are missing from it.
   */
  function applyResponse(noteAll: (now: number) => void) {
    const now = clock.now();
    noteAll(now);
    if (missing.size > 0) scheduleExpiry(now);
    onChange();
  }

  return {
    list: () => [...endpoints.values()],
    isKnown: () => isKnown,
    computeAnswerPeriod,
    expire,
    noteAnswer() {
      const now = clock.now();
      ownPeriod = mergeAnswerPeriods(ownPeriod, {from: now, to: now}, lapseMs);
    },
    reset(registered) {
      isKnown = true;
      const present = new Set(registered.map(({name}) => name));
      applyResponse(now => {
        for (const name of [...endpoints.keys()]) {
          if (!present.has(name)) remove(name, now);
        }
        registered.forEach(note);
      });
    },
    change(changes) {
      applyResponse(now => {
        for (const {name, endpoint} of changes) {
          if (endpoint) note(endpoint);
          else remove(name, now);
        }
      });
    },
  };
}
