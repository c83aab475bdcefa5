/** The buffer of a response that its caller has not read. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createUnreadBytes} from './unread_bytes.js';

function takeAll(unread: ReturnType<typeof createUnreadBytes>, limit: number) {
  const pieces: Buffer[] = [];
  for (;;) {
    const piece = unread.take(limit);
    if (!piece) return pieces;
    pieces.push(piece);
  }
}

describe('unread bytes', () => {
  it('are taken in order, whatever the sizes of the chunks', () => {
    const unread = createUnreadBytes();
    const chunks = Array.from({length: 200}, (_, index) =>
      Buffer.alloc(((index * 7919) % 9000) + 1, index),
    );
    for (const chunk of chunks) unread.push(chunk);
    const pieces = takeAll(unread, 1000);
    assert.ok(pieces.every(({length}) => length > 0 && length <= 1000));
    assert.deepEqual(Buffer.concat(pieces), Buffer.concat(chunks));
    assert.equal(unread.countBytes(), 0);
  });

  it('are not changed after they were taken', () => {
    // The connection still refers to a piece when further bytes arrive.
    const unread = createUnreadBytes();
    unread.push(Buffer.from('first'));
    const taken = unread.take(100)!;
    unread.push(Buffer.from('other'));
    assert.equal(taken.toString(), 'first');
    assert.equal(unread.take(100)!.toString(), 'other');
  });

  it('count the memory that they occupy, not only their length', () => {
    const unread = createUnreadBytes();
    for (let index = 0; index < 1000; index++) unread.push(Buffer.alloc(50));
    assert.ok(unread.countBytes() >= 50_000);
    assert.ok(unread.countBytes() <= 70_000);
    unread.clear();
    assert.equal(unread.countBytes(), 0);
    assert.equal(unread.take(10), undefined);
  });
});
