/** Waits for the signal with which an operator or the platform ends a process. */

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Resolves with the first of SIGTERM and SIGINT; later ones are ignored. */
export function awaitInterrupt(): Promise<NodeJS.Signals> {
  return new Promise(resolve => {
    for (const signal of SIGNALS) process.on(signal, () => resolve(signal));
  });
}
