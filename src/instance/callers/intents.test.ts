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

/** Creates the intents of two instances that share one platform. */
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
  it('run a call once when it is resent many times concurrently', async () => {
    const {first, second} = createPair();
    const starts = await Promise.allSettled(
      Array.from({length: 10}, (_unused, index) =>
        (index % 2 ? first : second).start(makeCall(), 0),
      ),
    );
    const started = starts.filter(({status}) => status === 'fulfilled');
    assert.equal(started.length, 1);
  });

  it('return the recorded outcome to a resend', async () => {
    const {first, second} = createPair();
    await finishRun(await first.start(makeCall(), 0), ANSWERED);
    const resent = await second.start(makeCall(), 1);
    assert.deepEqual(resent, {kind: 'recorded', end: ANSWERED});
  });

  it('separate the keys of different accounts and services', async () => {
    const {first} = createPair();
    await first.start(makeCall(), 0);
    for (const other of [{account: 'planner'}, {service: 'drums'}]) {
      assert.equal((await first.start(makeCall(other), 0)).kind, 'run');
    }
  });

  it('refuse a key that was used for another call', async () => {
    const {first, second} = createPair();
    await finishRun(await first.start(makeCall(), 0), ANSWERED);
    await assert.rejects(second.start(makeCall({fingerprint: 'other'}), 1), {
      code: 'conflict',
      verdict: 'not-run',
    });
  });

  it('run a call again if the first attempt provably did not run', async () => {
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

  describe('an instance that crashes during the call', () => {
    // The intent stays started. A resend gets a conflict while the first call
    // may still run, and outcome_unknown afterwards. The call must never run
    // twice, also if the first resend comes only then.
    const STILL_RUNNING = {code: 'conflict', verdict: 'may-have-run'};
    const UNKNOWN = {code: 'outcome_unknown', verdict: 'may-have-run'};

    it('causes a conflict first, then an unknown outcome', async () => {
      const {first, second} = createPair();
      await first.start(makeCall(), 0);
      await assert.rejects(second.start(makeCall(), 19_000), STILL_RUNNING);
      await assert.rejects(second.start(makeCall(), 21_000), UNKNOWN);
    });

    it('causes an unknown outcome for a late resend', async () => {
      const {first, second} = createPair();
      await first.start(makeCall(), 0);
      await assert.rejects(second.start(makeCall(), 23 * HOUR_MS), UNKNOWN);
    });
  });

  describe('when the store fails', () => {
    it('refuse the call without running it', async () => {
      const {platform, first} = createPair();
      platform.faults.down = true;
      await assert.rejects(first.start(makeCall(), 0), {
        code: 'store_unavailable',
        verdict: 'not-run',
      });
      platform.faults.down = false;
      assert.equal((await first.start(makeCall(), 0)).kind, 'run');
    });

    it('do not run a call whose intent was written but not confirmed', async () => {
      // The write took effect although the store's response was lost. The first
      // caller correctly gets not-run. The resend finds the intent, cannot know
      // whether the call runs, and so does not run it.
      const {platform, first, second} = createPair();
      platform.faults.answersToLose = 1;
      await assert.rejects(first.start(makeCall(), 0), {verdict: 'not-run'});
      await assert.rejects(second.start(makeCall(), 1), {code: 'conflict'});
    });

    it('report may-have-run for an outcome that could not be recorded', async () => {
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

  it('are removed after a day as new ones are written', async () => {
    const {platform, first} = createPair();
    const writeMany = async (name: string, wallNow: number) => {
      for (let index = 0; index < 20; index++) {
        await first.start(makeCall({key: `${name}-${index}`}), wallNow);
      }
    };
    await writeMany('old', 0);
    // The first sweep, at time 0, covered the hour 25 hours back; the second
    // covers the hour 26 hours back.
    await writeMany('new', 26 * HOUR_MS);
    await new Promise(resolve => setImmediate(resolve));
    const rows = await platform.table.query(INTENT_PARTITION);
    assert.equal(rows.length, 20);
  });
});
