/** Waits for a slot as long as the request is wanted. */
import {toRouterError} from '../../common/errors.js';
import type {Dispatch, Slot} from '../dispatch/dispatch.js';
import type {ExecutionRequest} from './execution.js';
import type {RequestWatch} from './request_watch.js';

/**
 * `callId` names the use of the slot, `avoid` the endpoints that failed the
 * request. Throws RouterError when none can be had or the request must end.
 */
export async function acquireSlot(
  dispatch: Dispatch,
  request: ExecutionRequest,
  callId: string,
  avoid: readonly string[],
  watch: RequestWatch,
): Promise<Slot> {
  const {document} = request.service;
  const pending = dispatch.acquireSlot({
    ...request,
    service: document.service.name,
    weight: document.account[request.account]?.weight ?? 1,
    requestId: callId,
    avoid,
    signal: watch.signal,
  });
  try {
    return await watch.awaitOrEnd(pending);
  } catch (thrown) {
    // A slot that is granted after the request has ended would stay taken.
    pending.then(
      slot => slot.release({kind: 'cancelled', tokens: 0}),
      () => {},
    );
    throw toRouterError(thrown, 'not-run');
  }
}
