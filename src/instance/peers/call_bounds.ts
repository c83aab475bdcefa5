/**
 * Bounds on calls to one peer: each has a time-out, and only so many may be
 * under way.
 *
 * Failure it answers: a peer or the way to it goes silent. Symptom without it:
 * calls wait for good and pile up in memory. Every call ends in time, and the
 * listener learns of it, to replace the connection.
 */
import {TRPCClientError, type TRPCLink} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {observable} from '@trpc/server/observable';
import type {Clock} from '../../common/clock.js';
import {CALL_TIMEOUT_MS, MAX_CALLS_IN_FLIGHT} from './constants.js';

/** A call to a peer was not answered. */
export class PeerCallError extends Error {
  /** Whether the call may have reached the peer. */
  readonly sent: boolean;

  constructor(message: string, sent: boolean) {
    super(message);
    this.name = 'PeerCallError';
    this.sent = sent;
  }
}

/** `onTimeout` is told when the call was sent. */
export function createCallBounds<Router extends AnyRouter>(
  clock: Clock,
  onTimeout: (sentAt: number) => void,
): TRPCLink<Router> {
  let inFlight = 0;

  return () =>
    ({next, op}) =>
      observable(observer => {
        if (inFlight >= MAX_CALLS_IN_FLIGHT) {
          const error = new PeerCallError('too many calls to this peer', false);
          observer.error(TRPCClientError.from(error));
          return;
        }
        inFlight++;
        const sentAt = clock.now();
        const timeoutMs = Number(op.context.timeoutMs ?? CALL_TIMEOUT_MS);
        const cancelTimer = clock.schedule(timeoutMs, () => {
          subscription.unsubscribe();
          const error = new PeerCallError(`${op.path}: no answer`, true);
          observer.error(TRPCClientError.from(error));
          onTimeout(sentAt);
        });
        const subscription = next(op).subscribe(observer);
        return () => {
          inFlight--;
          cancelTimer();
          subscription.unsubscribe();
        };
      });
}
