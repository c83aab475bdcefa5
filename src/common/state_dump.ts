/** What each part of an instance shows of itself on request. */

/** A part that can describe its state. Never a key, secret or request body. */
export interface StateSource {
  describeState(): object;
}

/** The states of all parts by name. */
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
