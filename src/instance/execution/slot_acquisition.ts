/** Acquires a slot for a request, unless the request ends before. */
import {toRouterError} from '../../common/errors.js';
import type {Dispatch, Slot} from '../dispatch/dispatch.js';
import type {AnswerProgress} from './answer_progress.js';
import type {ExecutionRequest} from './execution.js';
import type {RequestWatch} from './request_watch.js';

/**
 * Acquires a slot. `callId` identifies the use of the slot, and `progress` names the
 * endpoints on which the request failed and the version that must go on with it. Throws
 * RouterError when no slot is granted or the request must end.
 */
export async function acquireSlot(
  dispatch: Dispatch,
  request: ExecutionRequest,
  callId: string,
  {avoid, version}: Pick<AnswerProgress, 'avoid' | 'version'>,
  watch: RequestWatch,
): Promise<Slot> {
  const {document} = request.service;
  const pending = dispatch.acquireSlot({
    ...request,
    service: document.service.name,
    weight: document.account[request.account]?.weight ?? 1,
    requestId: callId,
    avoid,
    version,
    signal: watch.signal,
  });
  try {
    return await watch.awaitOrEnd(pending);
  } catch (thrown) {
    // Otherwise a slot that is granted after the request ended would leak.
    pending.then(
      slot => slot.release({kind: 'cancelled', tokens: 0}),
      () => {},
    );
    throw toRouterError(thrown, 'not-run');
  }
}
