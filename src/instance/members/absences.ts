/** Records which instances are absent, and when each was last heard from. */

/** One run of an instance that did not confirm its presence. */
export interface AbsentInstance {
  name: string;
  incarnation: string;
}

/** Absent instances by name; all times are monotonic. */
export interface Absences {
  /** Records that an instance did not respond to a check begun at `since`. */
  note(name: string, since: number): void;
  /** Records a sign of life, which ends an absence. */
  noteHeard(name: string, now: number): void;
  /** Ends an absence that a peer has refuted. */
  clear(name: string): void;
  findSince(name: string): number | undefined;
  findHeardAt(name: string): number | undefined;
  /** Drops what is known of instances that are not listed. */
  retain(listed: ReadonlySet<string>): void;
}

export function createAbsences(): Absences {
  const absentSince = new Map<string, number>();
  const heardAt = new Map<string, number>();

  return {
    note(name, since) {
      absentSince.set(name, absentSince.get(name) ?? since);
    },
    noteHeard(name, now) {
      heardAt.set(name, now);
      absentSince.delete(name);
    },
    clear: name => void absentSince.delete(name),
    findSince: name => absentSince.get(name),
    findHeardAt: name => heardAt.get(name),
    retain(listed) {
      for (const map of [absentSince, heardAt]) {
        for (const name of map.keys()) {
          if (!listed.has(name)) map.delete(name);
        }
      }
    },
  };
}
