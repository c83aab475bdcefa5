import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {RouterError} from '../../common/errors.js';
import {createEventDecoder} from './event_stream.js';

const TEXT =
  [0, 1, 2, 3]
    .map(offset => {
      const chunk = {id: 'req-1', choices: [{text: `дуу ${offset}`}]};
      return `id: ${offset}\ndata: ${JSON.stringify(chunk)}\n\n`;
    })
    .join('') + 'data: [DONE]\n\n';

/** Decodes the pieces, and returns offsets and ends up to the first failure. */
function decodeAll(pieces: readonly Uint8Array[]) {
  const decoder = createEventDecoder('req-1', 0);
  const seen: (number | 'end')[] = [];
  let failure: RouterError | undefined;
  for (const piece of pieces) {
    if (failure) break;
    try {
      for (const event of decoder.decode(Buffer.from(piece))) {
        if (event.kind === 'data') seen.push(event.offset);
        if (event.kind === 'end') seen.push('end');
      }
      failure = decoder.getFailure();
    } catch (thrown) {
      assert.ok(thrown instanceof RouterError, String(thrown));
      failure = thrown;
    }
  }
  return {seen, failure};
}

function splitAt(bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const ends = [...cuts.map(cut => cut % bytes.length), bytes.length];
  ends.sort((a, b) => a - b);
  return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end));
}

describe('event decoder', () => {
  it('decodes the same events wherever the bytes are split', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(), {maxLength: 12}), cuts => {
        const {seen, failure} = decodeAll(splitAt(Buffer.from(TEXT), cuts));
        assert.deepEqual(seen, [0, 1, 2, 3, 'end']);
        assert.equal(failure, undefined);
      }),
      {seed: 17, numRuns: 300},
    );
  });

  it('returns only events in sequence, whatever the bytes are', () => {
    // Otherwise the caller would get a token twice, miss one, or get one of
    // another response. Bytes of the stream are replaced, or parts of it are
    // lost or repeated.
    const bytes = Buffer.from(TEXT);
    const position = fc.nat(bytes.length - 1);
    const damage = fc.oneof(
      fc
        .tuple(position, fc.uint8Array({maxLength: 20}))
        .map(([at, noise]) =>
          Buffer.concat([
            bytes.subarray(0, at),
            noise,
            bytes.subarray(at + noise.length),
          ]),
        ),
      fc
        .tuple(position, position)
        .map(([end, start]) =>
          Buffer.concat([bytes.subarray(0, end), bytes.subarray(start)]),
        ),
      fc.uint8Array({maxLength: 200}).map(noise => Buffer.from(noise)),
    );
    fc.assert(
      fc.property(
        damage,
        fc.array(fc.nat(), {maxLength: 4}),
        (stream, cuts) => {
          if (stream.length === 0) return;
          const {seen} = decodeAll(splitAt(stream, cuts));
          const offsets = seen.filter(entry => entry !== 'end');
          assert.deepEqual(offsets, [...offsets.keys()]);
        },
      ),
      {seed: 17, numRuns: 1000},
    );
  });

  it('refuses an event that never ends', () => {
    const decoder = createEventDecoder('req-1', 0);
    const piece = Buffer.from('x'.repeat(300_000));
    assert.throws(() => {
      for (let count = 0; count < 5; count++) decoder.decode(piece);
    }, RouterError);
  });
});
