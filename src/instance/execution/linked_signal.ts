/** Abort signals that follow other signals. */

/** A signal that must be closed when it is no longer needed. */
export interface LinkedSignal {
  signal: AbortSignal;
  close(): void;
}

/** Creates a signal that aborts when either of two signals does. */
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
