/** Waits in a test until a condition is met, with a timeout. */
import {setImmediate as waitTurn} from 'node:timers/promises';

const TIMEOUT_MS = 5000;

/** Resolves as soon as `isMet` returns true; throws after 5 s. */
export async function waitUntil(
  isMet: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MS;
  while (!(await isMet())) {
    if (performance.now() > deadline)
      throw new Error('condition was not met within 5 s');
    await waitTurn();
  }
}
