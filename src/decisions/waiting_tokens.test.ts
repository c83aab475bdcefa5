import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ENTRY_GRACE_MS,
  isFitting,
  updateEntry,
  type WaitingBundles,
} from './waiting_tokens.js';

const MAX_TOKENS = 100;

describe('what an account has waiting', () => {
  it('leaves room for what fits beside it, and for what is in it', () => {
    const waiting: WaitingBundles = {
      a: {tokens: 60, left: 60, at: 0},
      b: {tokens: 50, left: 10, at: 0},
    };
    assert.equal(isFitting(waiting, 'c', 30, MAX_TOKENS), true);
    assert.equal(isFitting(waiting, 'c', 31, MAX_TOKENS), false);
    assert.equal(isFitting(waiting, 'a', 60, MAX_TOKENS), true);
  });

  it('has no room for what is larger than the bound', () => {
    assert.equal(isFitting({}, 'a', MAX_TOKENS + 1, MAX_TOKENS), false);
  });
});

describe('an entry, once its bundle was looked at', () => {
  const entry = {tokens: 90, left: 90, at: 1000};

  it('counts for what is not listed yet', () => {
    const seen = {isOpen: true, total: 3, listed: 2};
    assert.equal(updateEntry(entry, seen, 2000)?.left, 30);
  });

  it('counts no longer when the bundle has ended', () => {
    const seen = {isOpen: false, total: 3, listed: 1};
    assert.equal(updateEntry(entry, seen, 2000), undefined);
  });

  it('counts for a while when the bundle is not there', () => {
    const end = entry.at + ENTRY_GRACE_MS;
    assert.equal(updateEntry(entry, undefined, end - 1), entry);
    assert.equal(updateEntry(entry, undefined, end), undefined);
  });
});
