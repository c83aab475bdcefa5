import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createDigestSet} from './bundle_check.js';
import {readLines} from './line_reader.js';

async function collectLines(chunks: Buffer[], maxLine = 100, maxAll = 1000) {
  async function* streamChunks() {
    yield* chunks;
  }
  const lines: [number, string][] = [];
  for await (const {number, text} of readLines(
    streamChunks(),
    maxLine,
    maxAll,
  )) {
    lines.push([number, text]);
  }
  return lines;
}

describe('digest set', () => {
  it('has no collision among as many ids as the largest bundle has', () => {
    const digests = createDigestSet();
    for (let index = 0; index < 290_000; index++) {
      assert.ok(digests.add(`item-${index}`), `item-${index}`);
    }
    assert.equal(digests.add('item-5'), false);
  });
});

describe('line reader', () => {
  it('finds the same lines wherever the stream is split', async () => {
    const bytes = Buffer.from('\uFEFFa é漢\r\n\n  \nb\nc');
    for (let size = 1; size <= bytes.length; size++) {
      const chunks: Buffer[] = [];
      for (let at = 0; at < bytes.length; at += size) {
        chunks.push(bytes.subarray(at, at + size));
      }
      assert.deepEqual(await collectLines(chunks), [
        [1, 'a é漢'],
        [4, 'b'],
        [5, 'c'],
      ]);
    }
  });

  it('refuses a line or file that is too long before buffering it', async () => {
    const long = [Buffer.from('a\n'), Buffer.alloc(60, 0x62)];
    await assert.rejects(collectLines([...long, long[1]]), {
      code: 'body_too_large',
      field: 'line 2',
    });
    await assert.rejects(collectLines(long, 100, 50), {
      code: 'body_too_large',
      field: 'file',
    });
  });
});
