/**
 * Tracks the endpoints by their registrations in the store. An endpoint whose
 * registration is missing has left, unless the registration may have lapsed
 * while the store was unavailable. In that case the endpoint is retained until
 * it has had time to register again.
 *
 * An endpoint that crashed and started again registers under a new name, while its old
 * registration lapses only seconds later. Of the registrations of one address only the
 * newest is listed: requests for the old name would be refused there. If the newest one
 * is wrong, it is passed over as soon as a request for it was refused at the address.
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
import type {Evacuations} from './evacuations.js';
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
  /** Replaces all registrations; the one that was written last comes last. */
  reset(endpoints: readonly ListedInstance[]): void;
  change(changes: readonly RegistrationChange[]): void;
}

/** The endpoints known to this instance. */
export interface EndpointDirectory extends RegistrationListener {
  /** Endpoints of evacuated failure domains are listed as leaving. */
  list(): ListedInstance[];
  /**
   * Time until which an endpoint is known to be cold, in ms of the instance's clock.
   * `warmUpMs` is how long an endpoint that does not state it stays cold after it was
   * seen first, or after an evacuation.
   */
  findColdUntil(endpoint: ListedInstance, warmUpMs: number): number;
  /** Notes that another endpoint responded at the address of the named one. */
  noteMisdirected(name: string): void;
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
  evacuations: Pick<Evacuations, 'isEvacuated' | 'getReturnedAt'>;
  /** Called after each change. */
  onChange: () => void;
}

/** What is known of an endpoint's warm-up. Times are in ms. */
interface Warmth {
  /** Time until which it stated to be cold. */
  coldUntil: number;
  /** When it was listed first; -Infinity if it was there before this instance. */
  seenAt: number;
  /** Whether it states how long it stays cold. */
  isStated: boolean;
}

/** Creates a directory without endpoints. */
export function createEndpointDirectory({
  clock,
  log,
  heartbeatMs,
  listReports,
  evacuations,
  onChange,
}: EndpointDirectoryDependencies): EndpointDirectory {
  const lapseMs = INTERVALS_TO_LAPSE * heartbeatMs;
  const endpoints = new Map<string, ListedInstance>();
  const missing = new Set<string>();
  /** Order in which the registrations were written, by name. */
  const notedAs = new Map<string, number>();
  let lastNoted = 0;
  /** Names that another endpoint refused at their address. */
  const misdirected = new Set<string>();
  /** Endpoints as listed while their failure domain is evacuated. */
  const spared = new WeakMap<ListedInstance, ListedInstance>();
  const warmths = new Map<string, Warmth>();
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
    const {name, coldLeftMs} = endpoint;
    const now = clock.now();
    warmths.set(name, {
      coldUntil: now + (coldLeftMs ?? 0),
      seenAt: warmths.get(name)?.seenAt ?? (isKnown ? now : -Infinity),
      isStated: coldLeftMs !== undefined,
    });
    endpoints.set(name, endpoint);
    notedAs.set(name, ++lastNoted);
    misdirected.delete(name);
    missing.delete(name);
  }

  function isNewer({name}: ListedInstance, other: ListedInstance): boolean {
    const isWrong = misdirected.has(name);
    if (isWrong !== misdirected.has(other.name)) return !isWrong;
    return notedAs.get(name)! > notedAs.get(other.name)!;
  }

  /** Lists the newest endpoint of each address. */
  function listNewest(): ListedInstance[] {
    const newest = new Map<string, ListedInstance>();
    for (const endpoint of endpoints.values()) {
      const other = newest.get(endpoint.address);
      if (!other || isNewer(endpoint, other)) {
        newest.set(endpoint.address, endpoint);
      }
    }
    return [...newest.values()];
  }

  /** Returns the same object as long as nothing changes. */
  function describeListed(endpoint: ListedInstance): ListedInstance {
    if (!evacuations.isEvacuated(endpoint.failureDomain)) return endpoint;
    const held = spared.get(endpoint) ?? {...endpoint, state: 'leaving'};
    spared.set(endpoint, held);
    return held;
  }

  function deleteEndpoint(name: string) {
    endpoints.delete(name);
    notedAs.delete(name);
    misdirected.delete(name);
    warmths.delete(name);
  }

  function remove(name: string, now: number) {
    const endpoint = endpoints.get(name);
    if (!endpoint || missing.has(name)) return;
    if (!isLapsePossible(now)) {
      deleteEndpoint(name);
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
    for (const name of missing) deleteEndpoint(name);
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
    list: () => listNewest().map(describeListed),
    findColdUntil({name, failureDomain}, warmUpMs) {
      const returnedAt = evacuations.getReturnedAt(failureDomain);
      const warmth = warmths.get(name);
      if (!warmth) return returnedAt + warmUpMs;
      const {coldUntil, seenAt, isStated} = warmth;
      const startedAt = isStated ? returnedAt : Math.max(returnedAt, seenAt);
      return Math.max(coldUntil, startedAt + warmUpMs);
    },
    noteMisdirected(name) {
      if (!endpoints.has(name) || misdirected.has(name)) return;
      misdirected.add(name);
      log.info({name}, 'another endpoint responded at the address');
      onChange();
    },
    isKnown: () => isKnown,
    computeAnswerPeriod,
    expire,
    noteAnswer() {
      const now = clock.now();
      ownPeriod = mergeAnswerPeriods(ownPeriod, {from: now, to: now}, lapseMs);
    },
    reset(registered) {
      const present = new Set(registered.map(({name}) => name));
      applyResponse(now => {
        for (const name of [...endpoints.keys()]) {
          if (!present.has(name)) remove(name, now);
        }
        registered.forEach(note);
        isKnown = true;
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
