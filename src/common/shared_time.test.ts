/** The shared time, set from the store's responses. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSharedTime} from './shared_time.js';
import {createVirtualClock} from './virtual_clock.js';

describe('the shared time', () => {
  it('is unknown until the first response, and then advances by itself', () => {
    const clock = createVirtualClock();
    const time = createSharedTime(clock);
    assert.equal(time.read(), undefined);
    time.note(50_000);
    clock.advance(700);
    assert.equal(time.read(), 50_700);
  });

  it('is not set back by a slow response', () => {
    const clock = createVirtualClock();
    const time = createSharedTime(clock);
    time.note(50_000);
    clock.advance(2000);
    time.note(50_400);
    assert.equal(time.read(), 52_000);
  });

  // A machine is suspended for 4 seconds that its monotonic clock does not
  // count. By that clock, work that other machines accepted during these
  // seconds is in the future.
  it('catches up after a suspension with the next response', () => {
    const clock = createVirtualClock();
    const time = createSharedTime(clock);
    time.note(50_000);
    clock.advance(10);
    time.note(54_010);
    assert.equal(time.read(), 54_010);
  });
});
