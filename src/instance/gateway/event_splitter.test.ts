/** Event streams that break at any byte and are resumed. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createItemText, createItemTextReader} from '../bundles/item_text.js';
import {createEventEndFinder, createEventSplitter} from './event_splitter.js';

const EVENTS = [1, 2, 3, 4].map(
  id => `id: ${id}\ndata: piece ${id} \u00e9\n\n`,
);
const STREAM = Buffer.from(EVENTS.join(''));

/** Splits the stream into pieces that end at the given offsets. */
function splitAt(bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const ends = [...cuts, bytes.length].sort((a, b) => a - b);
  let from = 0;
  return ends.map(end => {
    const piece = bytes.subarray(from, end);
    from = end;
    return piece;
  });
}

const cutsArbitrary = fc.array(fc.integer({min: 0, max: STREAM.length}), {
  maxLength: 8,
});

describe('event splitter', () => {
  it('returns complete events unchanged for any chunk boundaries', () => {
    fc.assert(
      fc.property(cutsArbitrary, cuts => {
        const splitter = createEventSplitter();
        const passed = splitAt(STREAM, cuts).map(piece => splitter.push(piece));
        assert.deepEqual(Buffer.concat(passed), STREAM);
        assert.equal(splitter.getPartialEvent().length, 0);
        assert.equal(splitter.getFirstId(), '1');
        assert.equal(splitter.getLastId(), '4');
      }),
    );
  });

  it('withholds a partial event and reports the id of the last complete one', () => {
    fc.assert(
      fc.property(fc.integer({min: 0, max: STREAM.length}), end => {
        const splitter = createEventSplitter();
        const passed = splitter.push(STREAM.subarray(0, end)).toString();
        const complete = EVENTS.filter((_, index) =>
          STREAM.subarray(0, end)
            .toString()
            .startsWith(EVENTS.slice(0, index + 1).join('')),
        );
        assert.equal(passed, complete.join(''));
        const last = complete.length > 0 ? String(complete.length) : undefined;
        assert.equal(splitter.getLastId(), last);
      }),
    );
  });
});

describe('event end finder', () => {
  // A stream that ends within an event must not count as a complete response.
  it('finds the same ends as the splitter', () => {
    const text = fc.string({unit: fc.constantFrom('a', '\n'), maxLength: 6});
    fc.assert(
      fc.property(fc.array(text), chunks => {
        const splitter = createEventSplitter();
        const finder = createEventEndFinder();
        splitter.push(Buffer.from(chunks.join('')));
        for (const chunk of chunks) finder.push(Buffer.from(chunk));
        const isAtEnd = splitter.getPartialEvent().length === 0;
        assert.equal(finder.isAtEventEnd(), isAtEnd);
      }),
    );
  });
});

describe("an item's text assembled from several runs", () => {
  it('is complete and has no duplicates wherever the first run broke off', () => {
    fc.assert(
      fc.property(fc.integer({min: 0, max: STREAM.length}), end => {
        const text = createItemText();
        createItemTextReader(text).push(STREAM.subarray(0, end));
        const rest = EVENTS.slice(Number(text.lastId ?? 0)).join('');
        createItemTextReader(text).push(Buffer.from(rest));
        const expected = [1, 2, 3, 4].map(id => `piece ${id} \u00e9`);
        assert.deepEqual(text.pieces, expected);
      }),
    );
  });

  it('rejects an event out of sequence', () => {
    const text = createItemText();
    createItemTextReader(text).push(Buffer.from(EVENTS[0]));
    const pushThird = () =>
      createItemTextReader(text).push(Buffer.from(EVENTS[2]));
    assert.throws(pushThird, /event 3 follows event 1/);
  });

  it('detects a run that stopped inside an event', () => {
    const reader = createItemTextReader(createItemText());
    reader.push(Buffer.from(EVENTS[0]));
    assert.equal(reader.hasPartialEvent(), false);
    reader.push(Buffer.from('id: 2\nda'));
    assert.equal(reader.hasPartialEvent(), true);
  });
});
