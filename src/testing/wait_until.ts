/** Waits in a test for a cause, with an end when it never comes. */
import {setImmediate as waitTurn} from 'node:timers/promises';

const GIVE_UP_MS = 5000;

/** Resolves once `holds`; throws when it does not within five seconds. */
export async function waitUntil(
  holds: () => boolean | Promise<boolean>,
): Promise<void> {
  const end = performance.now() + GIVE_UP_MS;
  while (!(await holds())) {
    if (performance.now() > end) throw new Error('the cause never came');
    await waitTurn();
  }
}
