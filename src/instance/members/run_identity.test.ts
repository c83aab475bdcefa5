/** The identity of a run, beside wall clocks that step. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRunIdentity} from './run_identity.js';

describe('the identity of a run', () => {
  // A machine is restarted after its wall clock stepped back by half a minute.
  // Others hold the run before for silent; the new run must outrank that, or
  // they leave it out of their view although it serves.
  it('sorts after those before it whatever the wall clock shows', () => {
    const before = createRunIdentity(
      {wallNow: () => 90_000},
      {read: () => 1000},
    );
    const after = createRunIdentity(
      {wallNow: () => 60_000},
      {read: () => 1900},
    );
    assert.ok(after.incarnation > before.incarnation);
    assert.ok(after.startedAt > before.startedAt);
  });

  it('goes by the wall clock where no other time is known', () => {
    const {startedAt} = createRunIdentity(
      {wallNow: () => 60_000},
      {read: () => undefined},
    );
    assert.equal(startedAt, 60_000);
  });
});
