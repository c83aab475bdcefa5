/**
 * What tells one run of a process from those before it on the same machine.
 *
 * Later runs must sort after earlier ones: what is told of the earlier one, that
 * it is silent or leaves, must not hold against the later. By a wall clock that
 * stepped back between the two it would, on every instance that does not hear the
 * new run itself; so the time is the one that all agree on, where it is known.
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

/** For the run that starts now. */
export function createRunIdentity(
  clock: Pick<Clock, 'wallNow'>,
  time: Pick<SharedTime, 'read'>,
): RunIdentity {
  const startedAt = Math.floor(time.read() ?? clock.wallNow());
  return {incarnation: generateId('run', startedAt), startedAt};
}
