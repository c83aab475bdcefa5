import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ENTRY_GRACE_MS,
  hasRoomFor,
  updateEntry,
  type WaitingBundles,
} from './waiting_tokens.js';

const MAX_TOKENS = 100;

describe('waiting tokens of an account', () => {
  it('leave room for bundles within the bound and for bundles already entered', () => {
    const waiting: WaitingBundles = {
      a: {tokens: 60, left: 60, at: 0},
      b: {tokens: 50, left: 10, at: 0},
    };
    assert.equal(hasRoomFor(waiting, 'c', 30, MAX_TOKENS), true);
    assert.equal(hasRoomFor(waiting, 'c', 31, MAX_TOKENS), false);
    assert.equal(hasRoomFor(waiting, 'a', 60, MAX_TOKENS), true);
  });

  it('leave no room for a bundle larger than the bound', () => {
    assert.equal(hasRoomFor({}, 'a', MAX_TOKENS + 1, MAX_TOKENS), false);
  });
});

describe('an entry whose bundle was checked', () => {
  const entry = {tokens: 90, left: 90, at: 1000};

  it('counts the items that are not listed yet', () => {
    const seen = {isOpen: true, total: 3, listed: 2};
    assert.equal(updateEntry(entry, seen, 2000)?.left, 30);
  });

  it('no longer counts when the bundle has ended', () => {
    const seen = {isOpen: false, total: 3, listed: 1};
    assert.equal(updateEntry(entry, seen, 2000), undefined);
  });

  it('counts until the grace period ends when the bundle does not exist', () => {
    const end = entry.at + ENTRY_GRACE_MS;
    assert.equal(updateEntry(entry, undefined, end - 1), entry);
    assert.equal(updateEntry(entry, undefined, end), undefined);
  });
});
