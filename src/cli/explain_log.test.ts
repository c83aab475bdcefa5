/** Finds the log records of an id in the logs of several instances. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {explainId} from './explain_log.js';

function makeLine(second: number, name: string, fields: object): string {
  const time = `2026-01-01T00:00:0${second}.000Z`;
  const frame = {hostname: 'h', pid: 1, level: 30, v: 0};
  return JSON.stringify({name, ...frame, ...fields, time});
}

const LINES = [
  makeLine(3, 'entry-2', {bundle: 'b1', epoch: 2, msg: 'bundle taken over'}),
  makeLine(1, 'entry-1', {req: 'b1', items: 2, msg: 'bundle accepted'}),
  `  12.5 entry-1 ${makeLine(2, 'entry-1', {
    bundle: 'b1',
    item: 'i1',
    kind: 'interrupted',
    msg: 'item attempt ended',
  })}`,
  makeLine(2, 'entry-1', {bundle: 'b1', item: 'i2', msg: 'item attempt ended'}),
  makeLine(2, 'entry-1', {req: 'r1', msg: 'request completed'}),
  'not a record',
  '{"broken',
];

describe('explaining an id', () => {
  it('returns the records of an item and its bundle in order, and of no other item', () => {
    assert.deepEqual(
      explainId(LINES, 'i1').map(line => line.split(' ').slice(1, 4).join(' ')),
      [
        'entry-1 bundle accepted',
        'entry-1 item attempt',
        'entry-2 bundle taken',
      ],
    );
  });

  it('returns the records of a request with their fields, and nothing else', () => {
    assert.deepEqual(explainId(LINES, 'r1'), [
      '2026-01-01T00:00:02.000Z entry-1 request completed req="r1"',
    ]);
  });

  it('returns nothing for an id that no record names', () => {
    assert.deepEqual(explainId(LINES, 'i'), []);
  });
});
