/**
 * Bounds the calls to one peer: each call has a timeout, and the number of
 * calls in flight is limited.
 *
 * Failure: a peer or the network path to it goes silent. Without the bounds,
 * calls would wait forever and pile up in memory. With them, every call ends in
 * time, and a listener is notified so that it can replace the connection.
 */
import {TRPCClientError, type TRPCLink} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {observable} from '@trpc/server/observable';
import type {Clock} from '../../common/clock.js';
import {CALL_TIMEOUT_MS, MAX_CALLS_IN_FLIGHT} from './constants.js';

/** A call to a peer got no response. */
export class PeerCallError extends Error {
  /** Whether the call may have reached the peer. */
  readonly sent: boolean;

  constructor(message: string, sent: boolean) {
    super(message);
    this.name = 'PeerCallError';
    this.sent = sent;
  }
}

/** `onTimeout` is called with the time at which the call was sent. */
export function createCallBounds<Router extends AnyRouter>(
  clock: Clock,
  onTimeout: (sentAt: number) => void,
): TRPCLink<Router> {
  let inFlight = 0;

  return () =>
    ({next, op}) =>
      observable(observer => {
        if (inFlight >= MAX_CALLS_IN_FLIGHT) {
          const error = new PeerCallError(
            'too many calls in flight to this peer',
            false,
          );
          observer.error(TRPCClientError.from(error));
          return;
        }
        inFlight++;
        const sentAt = clock.now();
        const timeoutMs = Number(op.context.timeoutMs ?? CALL_TIMEOUT_MS);
        const cancelTimer = clock.schedule(timeoutMs, () => {
          subscription.unsubscribe();
          const error = new PeerCallError(
            `${op.path}: no response within the timeout`,
            true,
          );
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
