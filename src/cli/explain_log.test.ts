/** From an id to its cause, over the logs of several instances. */
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
    msg: 'item try ended',
  })}`,
  makeLine(2, 'entry-1', {bundle: 'b1', item: 'i2', msg: 'item try ended'}),
  makeLine(2, 'entry-1', {req: 'r1', msg: 'request answered'}),
  'not a record',
  '{"broken',
];

describe('explaining an id', () => {
  it('tells an item with its bundle, in order, and no other item', () => {
    assert.deepEqual(
      explainId(LINES, 'i1').map(line => line.split(' ').slice(1, 4).join(' ')),
      ['entry-1 bundle accepted', 'entry-1 item try', 'entry-2 bundle taken'],
    );
  });

  it('tells a request alone, with what decided it', () => {
    assert.deepEqual(explainId(LINES, 'r1'), [
      '2026-01-01T00:00:02.000Z entry-1 request answered req="r1"',
    ]);
  });

  it('tells nothing of an id that no line names', () => {
    assert.deepEqual(explainId(LINES, 'i'), []);
  });
});
