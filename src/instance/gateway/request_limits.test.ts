/** How long a request may wait for its first slot. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createStartBound} from './request_limits.js';
import {computeStartBy, type AdmittedRequest} from './request_state.js';

function makeAdmitted(eventPatienceMs: number): AdmittedRequest {
  const route = {eventPatienceMs} as AdmittedRequest['route'];
  return {route, arrivedAt: 100} as AdmittedRequest;
}

// Callers leave a stream after two seconds without a first event. Requests that
// waited that long for a slot ended without a word: their callers could have
// come back to another instance, had they been told in time.
describe('the wait for a first slot', () => {
  it('ends halfway through the patience of a caller of a stream', () => {
    assert.equal(computeStartBy(makeAdmitted(2000)), 1100);
    assert.equal(computeStartBy(makeAdmitted(0)), Infinity);
  });

  it('is cut short at its bound, and told from a caller that left', () => {
    const clock = createVirtualClock();
    const caller = new AbortController();
    const bound = createStartBound(clock, 1100, caller.signal);
    clock.advance(1099);
    assert.equal(bound.signal.aborted, false);
    clock.advance(1);
    assert.equal(bound.signal.aborted, true);
    assert.equal(bound.hasPassed(), true);
  });

  it('ends with the request, and has no bound of its own once closed', () => {
    const clock = createVirtualClock();
    const caller = new AbortController();
    const bound = createStartBound(clock, Infinity, caller.signal);
    caller.abort();
    assert.equal(bound.signal.aborted, true);
    assert.equal(bound.hasPassed(), false);
    const closed = createStartBound(clock, 10, new AbortController().signal);
    closed.close();
    clock.advance(20);
    assert.equal(closed.signal.aborted, false);
  });
});
