/** The shared time as answers tell it. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSharedTime} from './shared_time.js';
import {createVirtualClock} from './virtual_clock.js';

describe('the shared time', () => {
  it('is unknown until an answer tells it, and goes on by itself', () => {
    const clock = createVirtualClock();
    const time = createSharedTime(clock);
    assert.equal(time.read(), undefined);
    time.note(50_000);
    clock.advance(700);
    assert.equal(time.read(), 50_700);
  });

  it('is not set back by an answer that took long', () => {
    const clock = createVirtualClock();
    const time = createSharedTime(clock);
    time.note(50_000);
    clock.advance(2000);
    time.note(50_400);
    assert.equal(time.read(), 52_000);
  });

  // A machine is suspended for four seconds, which its monotonic clock does not
  // count: by it, work accepted on other machines meanwhile lies in the future.
  it('makes up for a suspension with the next answer', () => {
    const clock = createVirtualClock();
    const time = createSharedTime(clock);
    time.note(50_000);
    clock.advance(10);
    time.note(54_010);
    assert.equal(time.read(), 54_010);
  });
});
