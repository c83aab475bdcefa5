/** Signals that abort with another. */

/** A signal that is unlinked when it is no longer needed. */
export interface LinkedSignal {
  signal: AbortSignal;
  close(): void;
}

/** Aborts with the first of two. */
export function mergeSignals(
  first: AbortSignal,
  second: AbortSignal | undefined,
): LinkedSignal {
  if (!second) return {signal: first, close: () => {}};
  const controller = new AbortController();
  const sources = [first, second];
  const forward = () => controller.abort();
  if (sources.some(source => source.aborted)) forward();
  for (const source of sources) source.addEventListener('abort', forward);
  return {
    signal: controller.signal,
    close() {
      for (const source of sources) {
        source.removeEventListener('abort', forward);
      }
    },
  };
}
