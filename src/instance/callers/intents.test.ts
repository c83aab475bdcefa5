import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMetrics} from '../../common/metrics.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {INTENT_PARTITION} from './intent_expiry.js';
import {
  createIntents,
  type IntentCall,
  type IntentStart,
  type RecordedEnd,
} from './intents.js';

const HOUR_MS = 3_600_000;

const ANSWERED: RecordedEnd = {
  kind: 'answered',
  status: 200,
  headers: {},
  body: 'b2s=',
};

function makeCall(overrides: Partial<IntentCall> = {}): IntentCall {
  return {
    account: 'gate',
    service: 'visits',
    key: 'visit-17',
    fingerprint: 'digest-of-call',
    remainingMs: 10_000,
    ...overrides,
  };
}

/** Two instances on one platform. */
function createPair() {
  const platform = createMemoryPlatform();
  const [first, second] = [1, 2].map(() =>
    createIntents(platform.table, createMetrics()),
  );
  return {platform, first, second};
}

async function finishRun(started: IntentStart, end: RecordedEnd) {
  assert.ok(started.kind === 'run');
  await started.finish(end);
}

describe('intents', () => {
  it('let one of many resends at once run the call', async () => {
    const {first, second} = createPair();
    const starts = await Promise.allSettled(
      Array.from({length: 10}, (_unused, index) =>
        (index % 2 ? first : second).start(makeCall(), 0),
      ),
    );
    const ran = starts.filter(({status}) => status === 'fulfilled');
    assert.equal(ran.length, 1);
  });

  it('give a resend the recorded end', async () => {
    const {first, second} = createPair();
    await finishRun(await first.start(makeCall(), 0), ANSWERED);
    const again = await second.start(makeCall(), 1);
    assert.deepEqual(again, {kind: 'recorded', end: ANSWERED});
  });

  it('keep the keys of accounts and services apart', async () => {
    const {first} = createPair();
    await first.start(makeCall(), 0);
    for (const other of [{account: 'planner'}, {service: 'drums'}]) {
      assert.equal((await first.start(makeCall(other), 0)).kind, 'run');
    }
  });

  it('refuse a key that comes with another call', async () => {
    const {first, second} = createPair();
    await finishRun(await first.start(makeCall(), 0), ANSWERED);
    await assert.rejects(second.start(makeCall({fingerprint: 'other'}), 1), {
      code: 'conflict',
      verdict: 'not-run',
    });
  });

  it('let a call run that was proved not to have run', async () => {
    const {first, second} = createPair();
    await finishRun(await first.start(makeCall(), 0), {
      kind: 'failed',
      code: 'overloaded',
      message: 'full',
      verdict: 'not-run',
    });
    await finishRun(await second.start(makeCall(), 1), ANSWERED);
    assert.equal((await first.start(makeCall(), 2)).kind, 'recorded');
  });

  describe('an instance that dies with the call begun', () => {
    // The caller of the resend is told to wait, and once the first can no
    // longer be running, that it may have run. In neither case, nor when it
    // asks only then, is the call run a second time.
    const STILL_RUNNING = {code: 'conflict', verdict: 'may-have-run'};
    const UNKNOWN = {code: 'outcome_unknown', verdict: 'may-have-run'};

    it('is waited for, then its call ends as may-have-run', async () => {
      const {first, second} = createPair();
      await first.start(makeCall(), 0);
      await assert.rejects(second.start(makeCall(), 19_000), STILL_RUNNING);
      await assert.rejects(second.start(makeCall(), 21_000), UNKNOWN);
    });

    it('ends as may-have-run for a resend that comes late', async () => {
      const {first, second} = createPair();
      await first.start(makeCall(), 0);
      await assert.rejects(second.start(makeCall(), 23 * HOUR_MS), UNKNOWN);
    });
  });

  describe('without the store', () => {
    it('refuse the call, which has not run', async () => {
      const {platform, first} = createPair();
      platform.faults.down = true;
      await assert.rejects(first.start(makeCall(), 0), {
        code: 'store_unavailable',
        verdict: 'not-run',
      });
      platform.faults.down = false;
      assert.equal((await first.start(makeCall(), 0)).kind, 'run');
    });

    it('do not run a call twice whose intent was written unseen', async () => {
      // The first caller is told not-run, which is true. The write took
      // effect although its answer was lost, so the resend cannot tell whether
      // somebody runs the call, and does not.
      const {platform, first, second} = createPair();
      platform.faults.answersToLose = 1;
      await assert.rejects(first.start(makeCall(), 0), {verdict: 'not-run'});
      await assert.rejects(second.start(makeCall(), 1), {code: 'conflict'});
    });

    it('leave an end that cannot be recorded as may-have-run', async () => {
      const {platform, first, second} = createPair();
      const started = await first.start(makeCall(), 0);
      platform.faults.down = true;
      await finishRun(started, ANSWERED);
      platform.faults.down = false;
      await assert.rejects(second.start(makeCall(), 30_000), {
        verdict: 'may-have-run',
      });
    });
  });

  it('are removed a day later by those that write new ones', async () => {
    const {platform, first} = createPair();
    const writeMany = async (name: string, wallNow: number) => {
      for (let index = 0; index < 20; index++) {
        await first.start(makeCall({key: `${name}-${index}`}), wallNow);
      }
    };
    await writeMany('old', 0);
    // The first sweep, at 0, looked 25 hours back; the second looks 26.
    await writeMany('new', 26 * HOUR_MS);
    await new Promise(resolve => setImmediate(resolve));
    const rows = await platform.table.query(INTENT_PARTITION);
    assert.equal(rows.length, 20);
  });
});
