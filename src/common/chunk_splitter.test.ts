/** Bodies in chunked transfer encoding, received in any pieces. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createChunkSplitter} from './chunk_splitter.js';

function encodeChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

const contentsArbitrary = fc.array(
  fc.string({unit: 'binary', minLength: 1, maxLength: 40}),
  {maxLength: 6},
);

/** Pushes the bytes cut at `cuts`; returns the content and what is left. */
function split(bytes: Buffer, cuts: readonly number[]) {
  const splitter = createChunkSplitter();
  const ends = [...cuts.map(cut => cut % (bytes.length + 1)), bytes.length];
  let from = 0;
  let content = '';
  let left: string | undefined;
  const contents: Buffer[] = [];
  for (const end of ends.sort((a, b) => a - b)) {
    const piece = bytes.subarray(from, end);
    from = end;
    if (left !== undefined) {
      left += piece.toString('latin1');
      continue;
    }
    const result = splitter.push(piece);
    if (result.content) contents.push(result.content);
    left = result.left?.toString('latin1');
  }
  content = Buffer.concat(contents).toString();
  return {content, left, rest: splitter.takeRest()?.toString('latin1')};
}

describe('chunk splitter', () => {
  // A byte that is lost or passed on twice would corrupt a response.
  it('takes out all chunks and leaves the end of the body, in any pieces', () => {
    fc.assert(
      fc.property(contentsArbitrary, fc.array(fc.nat()), (contents, cuts) => {
        const text = contents.map(encodeChunk).join('') + '0\r\n\r\n';
        const result = split(Buffer.from(text), cuts);
        assert.equal(result.content, contents.join(''));
        assert.equal((result.left ?? '') + (result.rest ?? ''), '0\r\n\r\n');
      }),
    );
  });

  it('keeps an incomplete chunk for the parser', () => {
    const result = split(Buffer.from('2\r\nab\r\n5\r\nabc'), []);
    assert.deepEqual(result, {
      content: 'ab',
      left: undefined,
      rest: '5\r\nabc',
    });
  });

  it('leaves whatever is no plain chunk to the parser', () => {
    const unusual = [
      '2;name=value\r\nab\r\n',
      '\r\n',
      'x\r\n',
      'fffff\r\n',
      '2000\r\nab',
      '2\r\nabXY',
      '2\nab\r\n',
      'HTTP/1.1 200 OK\r\n',
    ];
    for (const text of unusual) {
      assert.equal(split(Buffer.from(text), []).left, text);
      const after = split(Buffer.from('1\r\na\r\n' + text), []);
      assert.deepEqual([after.content, after.left], ['a', text]);
    }
  });
});
