/** Log output whose reader stops, and more lines than are allowed. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createBoundedOutput,
  MAX_BACKLOG_BYTES,
  MAX_LINES_PER_S,
} from './bounded_output.js';

describe('log output', () => {
  it('drops and counts what a reader that stopped does not take', () => {
    // A request would wait for its own log line. The reader never takes the
    // first piece; lines are kept up to a bound, and the process goes on.
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
    const kept = Math.floor(MAX_BACKLOG_BYTES / line.length);
    assert.equal(output.countDropped(), 600 - kept);
  });

  it('keeps to its rate, tells the drops, and goes on the second after', async () => {
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
