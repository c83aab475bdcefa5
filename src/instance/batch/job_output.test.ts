import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {readParts} from './job_output.js';

describe('output of a job', () => {
  // Guards against lines that are missing from an output that looks complete.
  it('is not read past a part that is not whole', async () => {
    const {objects} = createMemoryPlatform();
    const line = Buffer.from('{"id":"one"}\n');
    const parts = ['first', 'second'].map(object => ({
      object,
      items: 1,
      bytes: line.length,
      completed: 1,
      failed: 0,
    }));
    for (const {object} of parts) await objects.put(object, line);
    const bodies = [];
    for await (const body of readParts(objects, parts)) bodies.push(body);
    assert.deepEqual(bodies, [line, line]);
    await objects.put('first', line.subarray(0, 5));
    await assert.rejects(readParts(objects, parts).next(), /5 of 13 bytes/);
  });
});
