/**
 * Tests the guarantee of limits: over any window of length t the fleet grants
 * at most rate x t + burst, whatever fails. fast-check generates scenarios of
 * faults, and an oracle sums every grant of every instance. FAULT_RUNS=500 runs
 * more scenarios.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  faultArbitrary,
  runFaults,
  type Fault,
} from '../../testing/limits_faults.js';

const RUNS = Number(process.env.FAULT_RUNS ?? 40);
const SEED = Number(process.env.FAULT_SEED ?? 20261202);

/** Scenarios in which the guarantee was once broken. */
const REGRESSIONS: {why: string; seed: number; faults: Fault[]}[] = [];

describe('limits under faults', () => {
  it('never grants more than rate and burst over any window', async t => {
    let granted = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(faultArbitrary, {minLength: 4, maxLength: 20}),
        fc.nat(),
        async (faults, seed) => {
          const oracle = await runFaults(faults, seed);
          granted += oracle.granted;
          assert.equal(oracle.excess, 0);
        },
      ),
      {numRuns: RUNS, seed: SEED, endOnFailure: RUNS < 50},
    );
    t.diagnostic(`${RUNS} scenarios, ${granted} grants`);
    assert.ok(granted > RUNS * 20, 'too few grants in the scenarios');
  });

  for (const {why, seed, faults} of REGRESSIONS) {
    it(why, async () => {
      assert.equal((await runFaults(faults, seed)).excess, 0);
    });
  }
});
