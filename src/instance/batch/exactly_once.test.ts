/**
 * Tests batch with random sequences of failures against an oracle. Instances
 * start, crash, pause, resume and drain, the store goes down and responses are
 * lost in any order between the acknowledgement of a job and its output.
 *
 * After recovery, a job has to be either complete with one result for each
 * item, or cancelled permanently. An output that was read must not change, and
 * items that may not run twice must run at most once. The oracle is the record
 * of runs at the engine and repeated reads of the output.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  createBatchFleet,
  makeIds,
  sendJob,
  type BatchFleet,
} from '../../testing/batch_fleet.js';
import {assertCompleteOnce, readOutput} from '../../testing/batch_oracle.js';
import {LEASE_DURATION_MS} from '../members/instance_lease.js';
import {cancelJob} from './job_routes.js';

const IDS = makeIds(24);
/** Set FUZZ_RUNS and FUZZ_SEED (e.g. 2000 and 7) for a longer search. */
const RUNS = Number(process.env.FUZZ_RUNS ?? 30);
const SEED = Number(process.env.FUZZ_SEED ?? 20260105);
const RECOVERY_MS = 2 * LEASE_DURATION_MS + 60_000;

/** One event; `at` is the index of an instance. */
type Event =
  | {kind: 'start' | 'kill' | 'pause' | 'resume' | 'drain'; at: number}
  | {kind: 'advance'; ms: number}
  | {kind: 'lose'; answers: number}
  | {kind: 'store'; down: boolean}
  | {kind: 'cancel'; at: number};

const atArbitrary = fc.nat({max: 5});

const eventArbitrary: fc.Arbitrary<Event> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'start' as const,
        'kill' as const,
        'pause' as const,
        'resume' as const,
        'drain' as const,
      ),
      at: atArbitrary,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.constantFrom(50, 400, 1000, 2500, LEASE_DURATION_MS + 3000),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('lose' as const),
      answers: fc.integer({min: 1, max: 3}),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('store' as const),
      down: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('cancel' as const),
      at: atArbitrary,
    }),
  },
);

/** Applies an event, by its kind. */
const EVENT_HANDLERS: {
  [Kind in Event['kind']]: (
    fleet: BatchFleet,
    event: Extract<Event, {kind: Kind}>,
    jobId: string,
  ) => Promise<void>;
} = {
  async start(fleet) {
    if (fleet.platform.faults.down || fleet.instances.length > 5) return;
    await fleet.startInstance(`entry-${fleet.instances.length}`);
  },
  async kill(fleet, {at}) {
    fleet.instances[at]?.process.kill();
  },
  async pause(fleet, {at}) {
    fleet.instances[at]?.process.pause();
  },
  async resume(fleet, {at}) {
    fleet.instances[at]?.process.resume();
  },
  async drain(fleet, {at}) {
    const instance = fleet.instances[at];
    if (instance?.process.isRunning()) void instance.drain().catch(() => {});
  },
  advance: (fleet, {ms}) => fleet.advance(ms),
  async lose(fleet, {answers}) {
    fleet.platform.faults.answersToLose = answers;
  },
  async store(fleet, {down}) {
    fleet.platform.faults.down = down;
  },
  async cancel(fleet, {at}, jobId) {
    const instance = fleet.instances[at];
    if (!instance?.process.isRunning()) return;
    // The caller may not learn the outcome; the oracle reads it.
    void cancelJob(instance.batch, 'gate', jobId, 1).catch(() => {});
  },
};

async function restoreFleet(fleet: BatchFleet) {
  fleet.platform.faults.down = false;
  fleet.platform.faults.answersToLose = 0;
  const last = await fleet.startInstance('entry-last');
  await fleet.advance(RECOVERY_MS);
  return last;
}

async function checkSequence(events: readonly Event[], document: string) {
  const fleet = await createBatchFleet({slots: 4, document});
  const first = await fleet.startInstance('entry-0');
  const jobId = await sendJob(first, IDS);
  for (const event of events) {
    const handle = EVENT_HANDLERS[event.kind] as (
      fleet: BatchFleet,
      event: Event,
      jobId: string,
    ) => Promise<void>;
    await handle(fleet, event, jobId);
  }
  const last = await restoreFleet(fleet);
  const {record} = await last.batch.jobs.find('gate', jobId);
  assert.notEqual(record.state, 'in_progress');
  if (record.state === 'completed') {
    const before = await readOutput(last, jobId);
    for (const {process} of fleet.instances) process.resume();
    await fleet.advance(5000);
    assert.equal(await readOutput(last, jobId), before);
    await assertCompleteOnce(fleet, jobId, IDS);
  }
  return fleet;
}

describe('exactly once under random failures', () => {
  const sequences = fc.array(eventArbitrary, {minLength: 3, maxLength: 14});

  it('completes each job fully or cancels it permanently', async () => {
    await fc.assert(
      fc.asyncProperty(sequences, async events => {
        await checkSequence(events, '');
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });

  it('runs items that may not run twice at most once', async () => {
    await fc.assert(
      fc.asyncProperty(sequences, async events => {
        const fleet = await checkSequence(
          events,
          '\n[batch]\nidempotent = no\n',
        );
        for (const [id, runs] of fleet.runs) {
          assert.equal(runs.length, 1, `${id} ran ${runs.length} times`);
        }
      }),
      {numRuns: RUNS, seed: SEED},
    );
  });
});
