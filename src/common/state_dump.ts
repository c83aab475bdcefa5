/** State that the parts of an instance show on request. */

/** A part that describes its state, without keys, secrets or request bodies. */
export interface StateSource {
  describeState(): object;
}

/** Collects the states of all parts by name. */
export function collectStates(
  sources: Record<string, StateSource>,
): Record<string, object> {
  return Object.fromEntries(
    Object.entries(sources).map(([name, source]) => [
      name,
      source.describeState(),
    ]),
  );
}
