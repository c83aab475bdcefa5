/** Tests batch when instances, the store or its responses are lost. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RouterError} from '../../common/errors.js';
import {
  createBatchFleet,
  makeBundle,
  makeIds,
  makeJobRequest,
  makeUpload,
  sendJob,
  type BatchFleet,
} from '../../testing/batch_fleet.js';
import {assertCompleteOnce, readOutput} from '../../testing/batch_oracle.js';
import {LEASE_DURATION_MS} from '../members/instance_lease.js';
import {cancelJob} from './job_routes.js';
import {GROUP_ITEMS_BY_LOSSES} from './constants.js';

const PAST_LEASE_MS = LEASE_DURATION_MS + 10_000;
const NOT_IDEMPOTENT = '\n[batch]\nidempotent = no\n';

/** Tests a failure in each order, and each order twice. */
function describeOrders<Order extends string>(
  name: string,
  orders: readonly Order[],
  run: (order: Order) => Promise<void>,
) {
  describe(name, () => {
    for (const order of orders) {
      for (const round of ['first run', 'second run']) {
        it(`${order}, ${round}`, () => run(order));
      }
    }
  });
}

function assertRunsAtMost(fleet: BatchFleet, maxRuns: number) {
  for (const [id, runs] of fleet.runs) {
    assert.ok(runs.length <= maxRuns, `${id} ran ${runs.length} times`);
  }
}

describe('batch under failures', () => {
  // An instance is lost immediately after it acknowledged a job. The job is
  // only in the store, where another instance has to find and complete it.
  describeOrders(
    'instance lost immediately after acknowledging a job',
    ['before it claimed a segment', 'after it claimed segments'] as const,
    async order => {
      const fleet = await createBatchFleet();
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(20);
      const jobId = await sendJob(first, ids);
      if (order === 'after it claimed segments') await fleet.advance(1500);
      first.process.kill();
      await fleet.startInstance('entry-2');
      await fleet.advance(PAST_LEASE_MS + 60_000);
      await assertCompleteOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 2);
    },
  );

  // The owner crashes with items in progress. Another instance sees that the
  // lease was not renewed for its duration, expires it, claims the segments
  // with the next epoch and runs their items again.
  describeOrders(
    'owner crashes with items in progress',
    ['successor is already running', 'successor starts later'] as const,
    async order => {
      const fleet = await createBatchFleet();
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(100);
      const jobId = await sendJob(first, ids);
      const isRunning = order === 'successor is already running';
      if (isRunning) await fleet.startInstance('entry-2');
      await fleet.advance(3500);
      first.process.kill();
      if (!isRunning) await fleet.startInstance('entry-2');
      await fleet.advance(PAST_LEASE_MS + 60_000);
      await assertCompleteOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 2);
    },
  );

  // The owner is paused for longer than its lease, another instance takes over,
  // and the first owner resumes and commits. The takeover has changed the
  // segment's row, so the table refuses the commit. The output must not change.
  describeOrders(
    'owner commits after a pause longer than its lease',
    ['before its successor has ended', 'after its successor ended'] as const,
    async order => {
      const fleet = await createBatchFleet({itemMs: 4000});
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(12);
      const jobId = await sendJob(first, ids);
      await fleet.advance(3000);
      first.process.pause();
      const second = await fleet.startInstance('entry-2');
      if (order === 'before its successor has ended') {
        await fleet.advance(PAST_LEASE_MS);
        first.process.resume();
        await fleet.advance(60_000);
      } else {
        await fleet.advance(PAST_LEASE_MS + 60_000);
        const before = await readOutput(second, jobId);
        first.process.resume();
        await fleet.advance(60_000);
        assert.equal(await readOutput(second, jobId), before);
      }
      await assertCompleteOnce(fleet, jobId, ids);
    },
  );

  // The owner is paused while it writes a result object, its successor commits
  // its own, and then the late object is written. Its name differs, because
  // names contain the epoch, so the output must not change.
  describeOrders(
    'late write of a result object',
    ['after its successor ended', 'twice'] as const,
    async order => {
      const fleet = await createBatchFleet();
      const ids = makeIds(8);
      const first = await fleet.startInstance('entry-1');
      const jobId = await sendJob(first, ids);
      const paused: string[] = [];
      const maxPauses = order === 'twice' ? 2 : 1;
      fleet.hooks.onObjectWrite = ({name: writer, process}) => {
        if (paused.length >= maxPauses || paused.includes(writer)) return;
        paused.push(writer);
        process.pause();
      };
      for (let successor = 2; successor <= maxPauses + 1; successor++) {
        await fleet.advance(5000);
        await fleet.startInstance(`entry-${successor}`);
        await fleet.advance(PAST_LEASE_MS);
      }
      await fleet.advance(PAST_LEASE_MS);
      const last = fleet.instances.at(-1)!;
      const before = await readOutput(last, jobId);
      assert.equal(paused.length, maxPauses);
      for (const {process} of fleet.instances) process.resume();
      await fleet.advance(30_000);
      assert.equal(await readOutput(last, jobId), before);
      await assertCompleteOnce(fleet, jobId, ids);
    },
  );

  describe('response lost after the write took effect', () => {
    // The caller learns that the outcome is unknown and resends the request to
    // the same or another instance. It has to receive the file and the job that
    // the first request created.
    describeOrders(
      'of a file and a job',
      ['resent to the same instance', 'resent to another instance'] as const,
      async order => {
        const fleet = await createBatchFleet();
        const first = await fleet.startInstance('entry-1');
        const second = await fleet.startInstance('entry-2');
        const other = order === 'resent to another instance' ? second : first;
        const ids = makeIds(10);
        const {answersToLoseOf} = fleet.platform.faults;
        answersToLoseOf['files#gate'] = 1;
        const upload = () => makeUpload(makeBundle(ids));
        await assert.rejects(first.batch.files.upload(upload(), 0));
        const file = await other.batch.files.upload(upload(), 0);
        answersToLoseOf['jobs#gate'] = 1;
        const request = makeJobRequest(file.id);
        await assert.rejects(first.batch.jobs.create(request, 0));
        const job = await other.batch.jobs.create(request, 0);
        await fleet.advance(30_000);
        await assertCompleteOnce(fleet, job.id, ids);
        assert.equal((await first.batch.jobs.list('gate')).length, 1);
        assertRunsAtMost(fleet, 1);
      },
    );

    // The owner reads back what it wrote. Its claim, its commit and the end of
    // the job have to be in the table once, and the caller notices nothing.
    describeOrders(
      'of a segment, its results and the end of a job',
      ['claim', 'commit', 'result object', 'job end'] as const,
      async order => {
        const fleet = await createBatchFleet();
        const first = await fleet.startInstance('entry-1');
        const ids = makeIds(10);
        const jobId = await sendJob(first, ids);
        const {answersToLoseOf} = fleet.platform.faults;
        const segments = `segments#${jobId}`;
        if (order === 'claim') answersToLoseOf[segments] = 1;
        await fleet.advance(1500);
        if (order === 'commit') answersToLoseOf[segments] = 2;
        if (order === 'result object') answersToLoseOf.objects = 2;
        if (order === 'job end') answersToLoseOf['work#drum-reader'] = 1;
        await fleet.advance(60_000);
        await assertCompleteOnce(fleet, jobId, ids);
        assertRunsAtMost(fleet, 1);
        const left = Object.values(answersToLoseOf);
        assert.ok(
          left.every(count => count === 0),
          'each response was lost',
        );
      },
    );

    // Items may not run twice, and the response to the intent to run a group is
    // lost. The owner finds its intent in the row and runs the group. If it
    // mistook the intent for another owner's, items that never ran would end as
    // may-have-run.
    describeOrders(
      'of an intent',
      ['the first', 'the second'] as const,
      async order => {
        const fleet = await createBatchFleet({
          segmentItems: 80,
          document: NOT_IDEMPOTENT,
        });
        const first = await fleet.startInstance('entry-1');
        const ids = makeIds(80);
        const jobId = await sendJob(first, ids);
        const {answersToLoseOf} = fleet.platform.faults;
        const segments = `segments#${jobId}`;
        let writes = 0;
        const {transact} = fleet.platform.table;
        fleet.platform.table.transact = operations => {
          const isSegment = operations[0].key.partition === segments;
          // The first write is the claim, the second the first intent.
          if (isSegment) writes++;
          const wanted = order === 'the first' ? 2 : 4;
          if (isSegment && writes === wanted) answersToLoseOf[segments] = 1;
          return transact(operations);
        };
        await fleet.advance(60_000);
        const lines = await assertCompleteOnce(fleet, jobId, ids);
        assert.ok(lines.every(({error}) => error === null));
        assert.equal(answersToLoseOf[segments], 0);
        assertRunsAtMost(fleet, 1);
      },
    );

    // The caller cancels, learns that the outcome is unknown, and cancels
    // again. The job has to be cancelled, and none of its items may continue.
    describeOrders(
      'of a cancel',
      ['resent to the same instance', 'resent to another instance'] as const,
      async order => {
        const fleet = await createBatchFleet();
        const first = await fleet.startInstance('entry-1');
        const second = await fleet.startInstance('entry-2');
        const jobId = await sendJob(first, makeIds(60));
        await fleet.advance(1500);
        fleet.platform.faults.answersToLoseOf['work#drum-reader'] = 1;
        await assert.rejects(cancelJob(first.batch, 'gate', jobId, 1));
        const other = order === 'resent to another instance' ? second : first;
        const job = await cancelJob(other.batch, 'gate', jobId, 2);
        assert.equal(job.record.state, 'cancelled');
        assert.equal(job.record.endedAt, 1);
        await fleet.advance(2000);
        const begun = fleet.runs.size;
        await fleet.advance(30_000);
        assert.equal(fleet.runs.size, begun);
      },
    );
  });

  // A cancel and the commit of the last results are concurrent; each store call
  // takes 10 ms. The table orders them: either the job is completed and the
  // cancel finds it so, or it is cancelled and nothing is committed afterwards.
  describeOrders(
    'cancel concurrent with commit',
    ['cancel first', 'commit first', 'job end first'] as const,
    async order => {
      const fleet = await createBatchFleet({itemMs: 1000});
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(4);
      const jobId = await sendJob(first, ids);
      await fleet.advance(1000);
      const [[run]] = [...fleet.runs.values()];
      const offsetsMs = {
        'cancel first': -30,
        'commit first': 5,
        'job end first': 30,
      };
      const startsAt = run.startedAt + 1000 + offsetsMs[order];
      await fleet.advance(startsAt - 50 - fleet.clock.now());
      fleet.platform.faults.slowMs = 10;
      await fleet.advance(50);
      const cancelled = cancelJob(first.batch, 'gate', jobId, 1);
      await fleet.advance(1000);
      fleet.platform.faults.slowMs = 0;
      const {record} = await cancelled;
      const committed = await first.batch.segments.query(jobId);
      assert.equal(
        [...committed.values()][0].record.state,
        order === 'cancel first' ? 'owned' : 'done',
      );
      assert.equal(
        record.state,
        order === 'job end first' ? 'completed' : 'cancelled',
      );
      await fleet.advance(30_000);
      if (record.state === 'completed') {
        await assertCompleteOnce(fleet, jobId, ids);
        return;
      }
      const {record: later} = await first.batch.jobs.find('gate', jobId);
      assert.equal(later.state, 'cancelled');
      assert.deepEqual(await first.batch.segments.query(jobId), committed);
    },
  );

  // The caller's request and its resend reach two instances at the same time.
  // One commits the job, the other finds it; both have to return the same job.
  describeOrders(
    'resend concurrent with acceptance',
    ['first instance first', 'second instance first'] as const,
    async order => {
      const fleet = await createBatchFleet();
      const first = await fleet.startInstance('entry-1');
      const second = await fleet.startInstance('entry-2');
      const ids = makeIds(10);
      const instances =
        order === 'first instance first' ? [first, second] : [second, first];
      fleet.platform.faults.slowMs = 5;
      const sending = Promise.all(
        instances.map(instance => sendJob(instance, ids)),
      );
      await fleet.advance(1000);
      fleet.platform.faults.slowMs = 0;
      const [jobId, again] = await sending;
      assert.equal(again, jobId);
      const [file] = await first.batch.files.list('gate');
      assert.equal(file.record.openJobs, 1);
      await fleet.advance(30_000);
      await assertCompleteOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 1);
    },
  );

  // The store is down for longer than every lease while items are in progress.
  // Owners retain their results and commit them when the store has recovered.
  // The time of the outage must not expire a lease, so no item runs again.
  describeOrders(
    'store down during a job',
    ['table and objects', 'table only', 'objects only'] as const,
    async order => {
      const fleet = await createBatchFleet({itemMs: 2000});
      const first = await fleet.startInstance('entry-1');
      await fleet.startInstance('entry-2');
      const ids = makeIds(120);
      const jobId = await sendJob(first, ids);
      await fleet.advance(15_000);
      const {faults} = fleet.platform;
      if (order === 'table and objects') faults.down = true;
      if (order === 'table only') faults.downServices = ['table'];
      if (order === 'objects only') faults.downServices = ['objects'];
      // The store recovers between two renewals, so that other instances read
      // the leases before their owners renew them.
      await fleet.advance(4 * LEASE_DURATION_MS + 1500);
      faults.down = false;
      faults.downServices = [];
      await fleet.advance(60_000);
      await assertCompleteOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 1);
    },
  );

  // The store is down for nearly the duration of a lease while items continue.
  // One owner misses its renewal. The other renewed just before, so it still
  // holds its lease when the store has recovered. If it counted the outage as
  // time without renewal, it would take over the segments of the first and run
  // all items again.
  describeOrders(
    'store down for nearly the duration of a lease',
    ['table and objects', 'table only'] as const,
    async order => {
      const fleet = await createBatchFleet({itemMs: 100_000, slots: 80});
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(80);
      const jobId = await sendJob(first, ids);
      await fleet.advance(8000);
      await fleet.startInstance('entry-2');
      // The first instance renews at 10 s and 20 s, the second at 18 s.
      await fleet.advance(10_500);
      const {faults} = fleet.platform;
      if (order === 'table and objects') faults.down = true;
      else faults.downServices = ['table'];
      await fleet.advance(26_000);
      faults.down = false;
      faults.downServices = [];
      await fleet.advance(200_000);
      await assertCompleteOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 1);
    },
  );

  // One item crashes each instance that runs it. After each loss the next owner
  // runs smaller groups, until the item is alone in its group. It then ends as
  // an error line, and all other items have responses.
  describeOrders(
    'item that crashes its instance',
    ['first of its segment', 'last of its segment'] as const,
    async order => {
      const fleet = await createBatchFleet({segmentItems: 100, slots: 200});
      const ids = makeIds(100);
      const poison = order === 'first of its segment' ? 'i0' : 'i99';
      let crashes = 0;
      fleet.hooks.onItemStart = (customId, {process}) => {
        if (customId !== poison) return;
        process.kill();
        crashes++;
      };
      const jobId = await sendJob(await fleet.startInstance('entry-0'), ids);
      for (let replacement = 1; replacement < 10; replacement++) {
        await fleet.advance(PAST_LEASE_MS + 30_000);
        await fleet.startInstance(`entry-${replacement}`);
      }
      await fleet.advance(PAST_LEASE_MS + 30_000);
      const lines = await assertCompleteOnce(fleet, jobId, ids);
      const failed = lines.filter(({error}) => error !== null);
      assert.deepEqual(
        failed.map(({custom_id, error}) => [custom_id, error?.verdict]),
        [[poison, 'may-have-run']],
      );
      assert.equal(crashes, GROUP_ITEMS_BY_LOSSES.length);
    },
  );

  // An item fails at every endpoint. After its attempts it ends as an error
  // line, and the output is complete.
  describeOrders(
    'item that fails at each attempt',
    ['with an endpoint failure', 'with an unexpected error'] as const,
    async order => {
      const fleet = await createBatchFleet();
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(10);
      fleet.hooks.onItemStart = customId => {
        if (customId !== 'i5') return;
        if (order === 'with an unexpected error')
          throw new TypeError('unexpected');
        throw new RouterError('endpoint_failed', 'broken', {verdict: 'ran'});
      };
      const jobId = await sendJob(first, ids);
      await fleet.advance(60_000);
      const lines = await assertCompleteOnce(fleet, jobId, ids);
      assert.notEqual(lines[5].error, null);
      assert.equal(fleet.countRuns('i5'), 3);
    },
  );

  // Items may not run twice, and their owner crashes. Items that it may have
  // started have to end as may-have-run and not run again; the others run once.
  describeOrders(
    'owner of non-idempotent items crashes',
    ['in the first group', 'in a later group'] as const,
    async order => {
      const fleet = await createBatchFleet({
        segmentItems: 200,
        document: NOT_IDEMPOTENT,
      });
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(200);
      const jobId = await sendJob(first, ids);
      await fleet.advance(order === 'in the first group' ? 2500 : 12_500);
      first.process.kill();
      await fleet.startInstance('entry-2');
      await fleet.advance(PAST_LEASE_MS + 60_000);
      const lines = await assertCompleteOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 1);
      const failed = lines.filter(({error}) => error !== null);
      assert.ok(failed.length > 0 && failed.length <= 64);
      assert.ok(failed.every(({error}) => error?.verdict === 'may-have-run'));
      const answered = lines.filter(({error}) => error === null);
      for (const {custom_id: id} of answered) {
        assert.equal(fleet.countRuns(id), 1);
      }
    },
  );

  // Endpoints repeatedly refuse items while they are busy with online requests.
  // This must not count towards an item's attempts, and the item succeeds in
  // the end.
  describeOrders(
    'items refused by busy endpoints',
    ['not run', 'possibly run'] as const,
    async order => {
      const fleet = await createBatchFleet();
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(10);
      fleet.hooks.onItemStart = customId => {
        if (fleet.countRuns(customId) > 6) return;
        throw new RouterError('overloaded', 'no room', {
          verdict: order === 'not run' ? 'not-run' : 'may-have-run',
        });
      };
      const jobId = await sendJob(first, ids);
      await fleet.advance(60_000);
      const lines = await assertCompleteOnce(fleet, jobId, ids);
      assert.ok(lines.every(({error}) => error === null));
    },
  );

  describe('two failures at once', () => {
    // The owner crashes while the store is down for longer than its lease.
    // After the store has recovered, the successor waits for the duration of a
    // lease and takes over.
    describeOrders(
      'an owner crash and a store outage',
      ['the owner first', 'the store first'] as const,
      async order => {
        const fleet = await createBatchFleet();
        const first = await fleet.startInstance('entry-1');
        await fleet.startInstance('entry-2');
        const ids = makeIds(120);
        const jobId = await sendJob(first, ids);
        await fleet.advance(2500);
        const kill = () => first.process.kill();
        const cutStore = () => {
          fleet.platform.faults.down = true;
        };
        const steps =
          order === 'the owner first' ? [kill, cutStore] : [cutStore, kill];
        for (const step of steps) {
          step();
          await fleet.advance(700);
        }
        await fleet.advance(2 * LEASE_DURATION_MS);
        fleet.platform.faults.down = false;
        await fleet.advance(PAST_LEASE_MS + 60_000);
        await assertCompleteOnce(fleet, jobId, ids);
        assertRunsAtMost(fleet, 2);
      },
    );

    // The owner is paused beyond its lease during a commit whose response is
    // lost, or responses to its successor are lost. Each result has to be
    // committed once, and the output must not change.
    describeOrders(
      'a paused owner and lost responses',
      ['of the owner', 'of its successor'] as const,
      async order => {
        const fleet = await createBatchFleet({itemMs: 2000});
        const first = await fleet.startInstance('entry-1');
        const ids = makeIds(8);
        const jobId = await sendJob(first, ids);
        const {answersToLoseOf} = fleet.platform.faults;
        const segments = `segments#${jobId}`;
        await fleet.advance(1500);
        if (order === 'of the owner') answersToLoseOf[segments] = 1;
        await fleet.advance(1600);
        first.process.pause();
        const second = await fleet.startInstance('entry-2');
        if (order === 'of its successor') answersToLoseOf[segments] = 2;
        await fleet.advance(PAST_LEASE_MS + 60_000);
        const before = await readOutput(second, jobId);
        first.process.resume();
        await fleet.advance(30_000);
        assert.equal(await readOutput(second, jobId), before);
        await assertCompleteOnce(fleet, jobId, ids);
      },
    );

    // Two owners crash one after the other, and the job is cancelled between
    // the crashes or after them.
    describeOrders(
      'two owner crashes and a cancel',
      ['cancel between', 'cancel at the end'] as const,
      async order => {
        const fleet = await createBatchFleet({itemMs: 5000});
        const first = await fleet.startInstance('entry-1');
        const jobId = await sendJob(first, makeIds(400));
        await fleet.advance(2500);
        first.process.kill();
        const second = await fleet.startInstance('entry-2');
        await fleet.advance(PAST_LEASE_MS + 2000);
        const third = await fleet.startInstance('entry-3');
        if (order === 'cancel between') {
          await cancelJob(third.batch, 'gate', jobId, 1);
        }
        second.process.kill();
        await fleet.advance(PAST_LEASE_MS);
        await cancelJob(third.batch, 'gate', jobId, 2);
        await fleet.advance(2000);
        const begun = [...fleet.runs.values()].flat().length;
        await fleet.advance(60_000);
        assert.equal([...fleet.runs.values()].flat().length, begun);
        const {record} = await third.batch.jobs.find('gate', jobId);
        assert.equal(record.state, 'cancelled');
        assert.equal(record.endedAt, order === 'cancel between' ? 1 : 2);
      },
    );
  });
});
