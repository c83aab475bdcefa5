/** Log output whose reader has stopped, or whose rate limit is exceeded. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createBoundedOutput,
  MAX_BACKLOG_BYTES,
  MAX_LINES_PER_S,
} from './bounded_output.js';

describe('log output', () => {
  it('drops and counts the lines that a stopped reader does not read', () => {
    // Without the bound, requests would wait for their own log lines. Here the
    // reader never accepts the first piece; lines are retained up to the
    // backlog limit, and the process continues.
    let now = 0;
    const output = createBoundedOutput(
      () => {},
      () => now,
    );
    void output.flush();
    const line = 'x'.repeat(1000);
    for (let count = 0; count < 600; count++) {
      now += 10;
      output.write(line);
    }
    const retained = Math.floor(MAX_BACKLOG_BYTES / line.length);
    assert.equal(output.countDropped(), 600 - retained);
  });

  it('enforces its rate limit, reports drops, and recovers a second later', async () => {
    const written: string[] = [];
    let now = 0;
    const output = createBoundedOutput(
      (piece, done) => {
        written.push(piece);
        done();
      },
      () => now,
    );
    for (let count = 0; count < MAX_LINES_PER_S + 7; count++) {
      output.write('line\n');
    }
    await output.flush();
    assert.match(written.join(''), /"dropped":7/);
    now = 1000;
    output.write('later\n');
    await output.flush();
    assert.match(written.join(''), /later/);
  });
});
