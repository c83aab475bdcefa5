/**
 * Tracks the failure domains that the operator has evacuated. Their endpoints get no new
 * work until the evacuation is taken back.
 */
import type {Clock} from '../../common/clock.js';
import type {Log} from '../../common/log.js';
import type {StateSource} from '../../common/state_dump.js';
import {
  selectEvacuated,
  type EvacuationReport,
} from '../../decisions/evacuation.js';

/** Receives the evacuations that were read from the store. */
export interface EvacuationListener {
  /**
   * Replaces the set. A set of an older version than the last one is ignored, since
   * the store may return old rows after it lost its history.
   */
  apply(domains: readonly string[], version: number): void;
}

/** The evacuations as this instance knows them. */
export interface Evacuations extends EvacuationListener, StateSource {
  /** Decides again, after reports of peers or a lost store. */
  refresh(): void;
  list(): readonly string[];
  isEvacuated(failureDomain: string): boolean;
  /**
   * When the last evacuation of the domain was taken back; -Infinity if there was
   * none.
   */
  getReturnedAt(failureDomain: string): number;
}

export interface EvacuationsDependencies {
  clock: Clock;
  log: Log;
  /** Time since which the store does not serve this instance. */
  getStoreLostAt: () => number | undefined;
  listReports: () => readonly EvacuationReport[];
  /** Called after each change. */
  onChange: () => void;
}

/** Creates evacuations with none known. */
export function createEvacuations({
  clock,
  log,
  getStoreLostAt,
  listReports,
  onChange,
}: EvacuationsDependencies): Evacuations {
  let read: readonly string[] = [];
  let readVersion = 0;
  let active: ReadonlySet<string> = new Set();
  const returnedAt = new Map<string, number>();

  function refresh() {
    const lostAt = getStoreLostAt();
    const next = new Set(selectEvacuated(read, lostAt, listReports()));
    const added = [...next].filter(domain => !active.has(domain));
    const removed = [...active].filter(domain => !next.has(domain));
    if (added.length + removed.length === 0) return;
    active = next;
    for (const domain of removed) returnedAt.set(domain, clock.now());
    const source = lostAt === undefined ? 'store' : 'peer';
    log.info(
      {added, removed, source, version: readVersion},
      'evacuated failure domains changed',
    );
    onChange();
  }

  return {
    apply(domains, version) {
      if (version < readVersion) return;
      read = domains;
      readVersion = version;
      refresh();
    },
    refresh,
    list: () => [...active],
    isEvacuated: failureDomain => active.has(failureDomain),
    getReturnedAt: failureDomain => returnedAt.get(failureDomain) ?? -Infinity,
    describeState: () => ({active: [...active], readVersion}),
  };
}
