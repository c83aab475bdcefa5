/** Streams cut at any byte, and taken up again. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createItemText, createItemTextReader} from '../bundles/item_text.js';
import {createEventSplitter} from './event_splitter.js';

const EVENTS = [1, 2, 3, 4].map(
  id => `id: ${id}\ndata: piece ${id} \u00e9\n\n`,
);
const STREAM = Buffer.from(EVENTS.join(''));

/** The stream in pieces that end at the given bytes. */
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

describe('an event stream in pieces', () => {
  it('passes whole events on unchanged, wherever it is cut', () => {
    fc.assert(
      fc.property(cutsArbitrary, cuts => {
        const splitter = createEventSplitter();
        const passed = splitAt(STREAM, cuts).map(piece => splitter.push(piece));
        assert.deepEqual(Buffer.concat(passed), STREAM);
        assert.equal(splitter.getRest().length, 0);
        assert.equal(splitter.getFirstId(), '1');
        assert.equal(splitter.getLastId(), '4');
      }),
    );
  });

  it('holds back half an event, and tells the last whole one', () => {
    fc.assert(
      fc.property(fc.integer({min: 0, max: STREAM.length}), end => {
        const splitter = createEventSplitter();
        const passed = splitter.push(STREAM.subarray(0, end)).toString();
        const whole = EVENTS.filter((_, index) =>
          STREAM.subarray(0, end)
            .toString()
            .startsWith(EVENTS.slice(0, index + 1).join('')),
        );
        assert.equal(passed, whole.join(''));
        const last = whole.length > 0 ? String(whole.length) : undefined;
        assert.equal(splitter.getLastId(), last);
      }),
    );
  });
});

describe("an item's text over several runs", () => {
  it('is whole and without repeats wherever the first run broke', () => {
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

  it('takes in no event out of turn', () => {
    const text = createItemText();
    createItemTextReader(text).push(Buffer.from(EVENTS[0]));
    const again = () => createItemTextReader(text).push(Buffer.from(EVENTS[2]));
    assert.throws(again, /event 3 follows event 1/);
  });

  it('tells a run that stopped inside an event', () => {
    const reader = createItemTextReader(createItemText());
    reader.push(Buffer.from(EVENTS[0]));
    assert.equal(reader.hasRest(), false);
    reader.push(Buffer.from('id: 2\nda'));
    assert.equal(reader.hasRest(), true);
  });
});
