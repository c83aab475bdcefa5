import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRunIdentity} from './run_identity.js';

describe('run identity', () => {
  // A machine is restarted after its wall clock stepped back by half a minute.
  // Other instances consider the earlier run silent. If the new run did not
  // outrank it, they would leave it out of their views although it serves.
  it('sorts after earlier runs even if the wall clock stepped back', () => {
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

  it('uses the wall clock if the shared time is unknown', () => {
    const {startedAt} = createRunIdentity(
      {wallNow: () => 60_000},
      {read: () => undefined},
    );
    assert.equal(startedAt, 60_000);
  });
});
