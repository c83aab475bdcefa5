/**
 * The endpoints, by their registrations. One that is missing has left, unless
 * the registration may have lapsed while the store was away; then the endpoint is
 * kept until it has had time to return.
 */
import type {Clock} from '../../common/clock.js';
import type {Log} from '../../common/log.js';
import {
  shouldKeepMissing,
  mergeRuns,
  REGISTRATION_RETURN_MS,
  type AnswerRun,
} from '../../decisions/store_answers.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {INTERVALS_TO_LAPSE} from './constants.js';
import type {WitnessReport} from './members.js';

/** One registration as it is now; without an endpoint there is none. */
export interface RegistrationChange {
  name: string;
  endpoint?: ListedInstance;
}

/** Told of the registrations, and of each answer of the store before it. */
export interface RegistrationListener {
  noteAnswer(): void;
  reset(endpoints: readonly ListedInstance[]): void;
  change(changes: readonly RegistrationChange[]): void;
}

/** Endpoints as this instance knows them. */
export interface EndpointDirectory extends RegistrationListener {
  list(): ListedInstance[];
  /** Whether the registrations have been read at all. */
  isKnown(): boolean;
  /** The answers of the store that this instance knows of. */
  computeRun(): AnswerRun | undefined;
  /** Drops what is missing and can no longer be expected to return. */
  expire(now: number): void;
}

/** What the directory works with. */
export interface EndpointDirectoryDependencies {
  clock: Clock;
  log: Log;
  /** Time between two renewals of a registration, in ms. */
  heartbeatMs: number;
  /** What peers last said, the store's answers to them included. */
  listReports: () => readonly Pick<WitnessReport, 'storeRun'>[];
  /** Told after each change. */
  onChange: () => void;
}

/** Starts without endpoints. */
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
  let ownRun: AnswerRun | undefined;
  let isKnown = false;

  function computeRun(): AnswerRun | undefined {
    return listReports().reduce(
      (run, {storeRun}) => (storeRun ? mergeRuns(run, storeRun, lapseMs) : run),
      ownRun,
    );
  }

  function isDoubtful(now: number): boolean {
    const run = computeRun();
    return run !== undefined && shouldKeepMissing(run, lapseMs, now);
  }

  function scheduleExpiry(now: number) {
    const from = computeRun()?.from ?? now;
    const waitMs = from + REGISTRATION_RETURN_MS - now;
    // In a silence it is the next answer, here or at a peer, that decides.
    if (waitMs > 0) clock.schedule(waitMs, () => expire(clock.now()));
  }

  function note(endpoint: ListedInstance) {
    endpoints.set(endpoint.name, endpoint);
    missing.delete(endpoint.name);
  }

  function remove(name: string, now: number) {
    const endpoint = endpoints.get(name);
    if (!endpoint || missing.has(name)) return;
    if (!isDoubtful(now)) {
      endpoints.delete(name);
      return;
    }
    missing.add(name);
    log.info(
      {name, state: endpoint.state},
      'registration missing after an outage: kept',
    );
  }

  function expire(now: number) {
    if (missing.size === 0) return;
    if (isDoubtful(now)) {
      scheduleExpiry(now);
      return;
    }
    for (const name of missing) endpoints.delete(name);
    log.info({endpoints: [...missing]}, 'lapsed registrations did not return');
    missing.clear();
    onChange();
  }

  /** Takes one answer in, with what it leaves in doubt. */
  function takeIn(noteAll: (now: number) => void) {
    const now = clock.now();
    noteAll(now);
    if (missing.size > 0) scheduleExpiry(now);
    onChange();
  }

  return {
    list: () => [...endpoints.values()],
    isKnown: () => isKnown,
    computeRun,
    expire,
    noteAnswer() {
      const now = clock.now();
      ownRun = mergeRuns(ownRun, {from: now, to: now}, lapseMs);
    },
    reset(registered) {
      isKnown = true;
      const present = new Set(registered.map(({name}) => name));
      takeIn(now => {
        for (const name of [...endpoints.keys()]) {
          if (!present.has(name)) remove(name, now);
        }
        registered.forEach(note);
      });
    },
    change(changes) {
      takeIn(now => {
        for (const {name, endpoint} of changes) {
          if (endpoint) note(endpoint);
          else remove(name, now);
        }
      });
    },
  };
}
