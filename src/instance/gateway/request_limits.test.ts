/** Limits on how long a request may wait for its first slot. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createFirstSlotTimeout} from './request_limits.js';
import {computeStartBy, type AdmittedRequest} from './request_state.js';

function makeAdmittedRequest(eventPatienceMs: number): AdmittedRequest {
  const route = {eventPatienceMs} as AdmittedRequest['route'];
  return {route, arrivedAt: 100} as AdmittedRequest;
}

// Callers abandon a stream after two seconds without a first event. A request
// that waited that long for a slot ended without a response, although its
// caller could have retried on another instance after an earlier refusal.
describe('the timeout for the first slot', () => {
  it('ends halfway through the first-event timeout of the caller of a stream', () => {
    assert.equal(computeStartBy(makeAdmittedRequest(2000)), 1100);
    assert.equal(computeStartBy(makeAdmittedRequest(0)), Infinity);
  });

  it('aborts the wait when it expires, and reports the expiry', () => {
    const clock = createVirtualClock();
    const caller = new AbortController();
    const timeout = createFirstSlotTimeout(clock, 1100, caller.signal);
    clock.advance(1099);
    assert.equal(timeout.signal.aborted, false);
    clock.advance(1);
    assert.equal(timeout.signal.aborted, true);
    assert.equal(timeout.hasExpired(), true);
  });

  it('reports no expiry when the request ends, and none once closed', () => {
    const clock = createVirtualClock();
    const caller = new AbortController();
    const timeout = createFirstSlotTimeout(clock, Infinity, caller.signal);
    caller.abort();
    assert.equal(timeout.signal.aborted, true);
    assert.equal(timeout.hasExpired(), false);
    const closed = createFirstSlotTimeout(
      clock,
      10,
      new AbortController().signal,
    );
    closed.close();
    clock.advance(20);
    assert.equal(closed.signal.aborted, false);
  });
});
