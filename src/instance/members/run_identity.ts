/**
 * Identifies one run of a process among all runs on the same machine.
 *
 * Later runs must sort after earlier ones: an update which says that the
 * earlier run is silent or leaving must not apply to the later one. If the wall
 * clock stepped back between the two runs, it would apply on every instance
 * that has no direct contact with the new run. So the time is the shared one,
 * if it is known.
 */
import type {Clock} from '../../common/clock.js';
import {generateId} from '../../common/ids.js';
import type {SharedTime} from '../../common/shared_time.js';

/** One run of this process. */
export interface RunIdentity {
  incarnation: string;
  /** Shared time in ms. */
  startedAt: number;
}

/** Creates the identity of the run that starts now. */
export function createRunIdentity(
  clock: Pick<Clock, 'wallNow'>,
  time: Pick<SharedTime, 'read'>,
): RunIdentity {
  const startedAt = Math.floor(time.read() ?? clock.wallNow());
  return {incarnation: generateId('run', startedAt), startedAt};
}
