/** A run in progress that can be watched for silence and stopped. */
import {runOnSlot, type SlotRunDependencies} from './slot_run.js';
import type {EndedRun, RunListener, RunRequest} from './slot_run.js';
import type {Slot} from '../dispatch/dispatch.js';

const OK = 200;

/** A run in progress. */
export interface OpenRun {
  slot: Slot;
  /** How long the request waited for the slot, in ms. */
  waitedMs: number;
  /** Monotonic time at which it was started. */
  startedAt: number;
  ended: Promise<EndedRun>;
  /** Resolves with true each time its endpoint is found silent, with false at its end. */
  awaitSilence(): Promise<boolean>;
  /** Aborted when the endpoint sends data again, or the head of the final failure. */
  watchProgress(): AbortSignal;
  /** Ends the run; it is reported as broken with `reason` if that is a RouterError. */
  stop(reason: Error): void;
}

/** Starts a run on a slot that was asked for at `askedAt`; `signal` stops it as well. */
export function openRun(
  dependencies: SlotRunDependencies,
  {slot, askedAt}: {slot: Slot; askedAt: number},
  request: RunRequest,
  listener: RunListener,
  signal: AbortSignal,
): OpenRun {
  const startedAt = dependencies.clock.now();
  const controller = new AbortController();
  const stop = (reason: Error) => controller.abort(reason);
  const stopWithRequest = () => stop(signal.reason as Error);
  if (signal.aborted) stopWithRequest();
  else signal.addEventListener('abort', stopWithRequest);
  let handleSilence: (isSilent: boolean) => void = () => {};
  let progress: AbortController | undefined;
  let hasEnded = false;

  function noteProgress() {
    progress?.abort();
    progress = undefined;
  }

  const ended = runOnSlot(
    dependencies,
    slot,
    request,
    {
      ...listener,
      onAnswer(status, headers) {
        const decision = listener.onAnswer(status, headers);
        // The caller has this head now, which no other response may follow.
        if (decision === 'take' && status !== OK) noteProgress();
        return decision;
      },
      onData(chunk, resume) {
        noteProgress();
        return listener.onData(chunk, resume);
      },
      onSilent: () => handleSilence(true),
    },
    controller.signal,
  ).finally(() => {
    hasEnded = true;
    signal.removeEventListener('abort', stopWithRequest);
    handleSilence(false);
  });

  return {
    slot,
    waitedMs: startedAt - askedAt,
    startedAt,
    ended,
    stop,
    awaitSilence: () =>
      new Promise(resolve => {
        if (hasEnded) resolve(false);
        else handleSilence = resolve;
      }),
    watchProgress() {
      progress ??= new AbortController();
      return progress.signal;
    },
  };
}
