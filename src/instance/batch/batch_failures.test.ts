/** What callers see when instances, the store or its answers are lost. */
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
import {assertWholeOnce, readOutput} from '../../testing/batch_oracle.js';
import {LEASE_DURATION_MS} from '../members/instance_lease.js';
import {cancelJob} from './job_routes.js';
import {CAREFUL_GROUP_ITEMS} from './constants.js';

const PAST_LEASE_MS = LEASE_DURATION_MS + 10_000;
const NOT_IDEMPOTENT = '\n[batch]\nidempotent = no\n';

/** Each failure is met in every order, and twice in a row. */
function describeOrders<Order extends string>(
  name: string,
  orders: readonly Order[],
  run: (order: Order) => Promise<void>,
) {
  describe(name, () => {
    for (const order of orders) {
      for (const round of ['once', 'again']) {
        it(`${order}, ${round}`, () => run(order));
      }
    }
  });
}

function assertRunsAtMost(fleet: BatchFleet, most: number) {
  for (const [id, runs] of fleet.runs) {
    assert.ok(runs.length <= most, `${id} ran ${runs.length} times`);
  }
}

describe('batch under failures', () => {
  // The caller has its acknowledgement and waits for the output. The instance
  // that gave it is lost at once. What it acknowledged is in the store alone,
  // so another instance finds the job there and completes it.
  describeOrders(
    'instance lost just after acknowledging',
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
      await assertWholeOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 2);
    },
  );

  // The owner dies with items in flight. Its lease is not renewed; another
  // instance sees its row unchanged for a lease, expires it, claims the
  // segments with the next epoch and runs their items again.
  describeOrders(
    'owner dying with items in flight',
    ['its successor runs already', 'its successor starts later'] as const,
    async order => {
      const fleet = await createBatchFleet();
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(100);
      const jobId = await sendJob(first, ids);
      const runsAlready = order === 'its successor runs already';
      if (runsAlready) await fleet.startInstance('entry-2');
      await fleet.advance(3500);
      first.process.kill();
      if (!runsAlready) await fleet.startInstance('entry-2');
      await fleet.advance(PAST_LEASE_MS + 60_000);
      await assertWholeOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 2);
    },
  );

  // The owner is paused for longer than its lease, another takes over, and
  // the first wakes and commits. Its commit names its old incarnation, whose
  // row says expired, so the table refuses it; reads stay the same.
  describeOrders(
    'owner paused past its lease that then commits',
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
      await assertWholeOnce(fleet, jobId, ids);
    },
  );

  // The owner is paused while its result is on the way to the object store,
  // its successor commits its own, and then the late object arrives. It has
  // another name, since names carry the epoch, so reads stay the same.
  describeOrders(
    'late result object',
    ['after its successor ended', 'twice'] as const,
    async order => {
      const fleet = await createBatchFleet();
      const ids = makeIds(8);
      const first = await fleet.startInstance('entry-1');
      const jobId = await sendJob(first, ids);
      const paused: string[] = [];
      const most = order === 'twice' ? 2 : 1;
      fleet.hooks.onObjectWrite = ({name: writer, process}) => {
        if (paused.length >= most || paused.includes(writer)) return;
        paused.push(writer);
        process.pause();
      };
      for (let successor = 2; successor <= most + 1; successor++) {
        await fleet.advance(5000);
        await fleet.startInstance(`entry-${successor}`);
        await fleet.advance(PAST_LEASE_MS);
      }
      await fleet.advance(PAST_LEASE_MS);
      const last = fleet.instances.at(-1)!;
      const before = await readOutput(last, jobId);
      assert.equal(paused.length, most);
      for (const {process} of fleet.instances) process.resume();
      await fleet.advance(30_000);
      assert.equal(await readOutput(last, jobId), before);
      await assertWholeOnce(fleet, jobId, ids);
    },
  );

  describe('answer lost after the write took effect', () => {
    // The caller is told that the outcome is unknown and sends the same again,
    // through the same instance or another. It is given the file and the job
    // that the first sending made.
    describeOrders(
      'of a file and a job',
      ['resent to the same instance', 'resent to another'] as const,
      async order => {
        const fleet = await createBatchFleet();
        const first = await fleet.startInstance('entry-1');
        const second = await fleet.startInstance('entry-2');
        const other = order === 'resent to another' ? second : first;
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
        await assertWholeOnce(fleet, job.id, ids);
        assert.equal((await first.batch.jobs.list('gate')).length, 1);
        assertRunsAtMost(fleet, 1);
      },
    );

    // The caller sees nothing of it. The owner reads back what it wrote: its
    // claim, its commit and its ending of the job are in the table, once.
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
        await assertWholeOnce(fleet, jobId, ids);
        assertRunsAtMost(fleet, 1);
        const left = Object.values(answersToLoseOf);
        assert.ok(
          left.every(count => count === 0),
          'each answer was lost',
        );
      },
    );

    // Items may not run twice. The answer to the intent to run a group is lost;
    // the owner finds its intent in the row and runs the group. Taking it for
    // another's would end items as may-have-run that never ran.
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
          // The claim is the first, the first intent the second.
          if (isSegment) writes++;
          const wanted = order === 'the first' ? 2 : 4;
          if (isSegment && writes === wanted) answersToLoseOf[segments] = 1;
          return transact(operations);
        };
        await fleet.advance(60_000);
        const lines = await assertWholeOnce(fleet, jobId, ids);
        assert.ok(lines.every(({error}) => error === null));
        assert.equal(answersToLoseOf[segments], 0);
        assertRunsAtMost(fleet, 1);
      },
    );

    // The caller cancels, is told that the outcome is unknown, and cancels
    // again: the job is cancelled, and nothing of it runs on.
    describeOrders(
      'of a cancel',
      ['sent again to the same', 'sent again to another'] as const,
      async order => {
        const fleet = await createBatchFleet();
        const first = await fleet.startInstance('entry-1');
        const second = await fleet.startInstance('entry-2');
        const jobId = await sendJob(first, makeIds(60));
        await fleet.advance(1500);
        fleet.platform.faults.answersToLoseOf['work#drum-reader'] = 1;
        await assert.rejects(cancelJob(first.batch, 'gate', jobId, 1));
        const other = order === 'sent again to another' ? second : first;
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

  // A cancel and the commit of the last results meet; each store call takes
  // 10 ms. The table orders them: either the job is completed and whole and
  // the cancel finds it so, or it is cancelled and nothing is committed after.
  describeOrders(
    'cancel racing commit',
    ['cancel first', 'commit first', 'end first'] as const,
    async order => {
      const fleet = await createBatchFleet({itemMs: 1000});
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(4);
      const jobId = await sendJob(first, ids);
      await fleet.advance(1000);
      const [[run]] = [...fleet.runs.values()];
      const leads = {'cancel first': -30, 'commit first': 5, 'end first': 30};
      const startsAt = run.startedAt + 1000 + leads[order];
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
        order === 'end first' ? 'completed' : 'cancelled',
      );
      await fleet.advance(30_000);
      if (record.state === 'completed') {
        await assertWholeOnce(fleet, jobId, ids);
        return;
      }
      const {record: later} = await first.batch.jobs.find('gate', jobId);
      assert.equal(later.state, 'cancelled');
      assert.deepEqual(await first.batch.segments.query(jobId), committed);
    },
  );

  // The caller's sending and its resend reach two instances at once. One
  // commits the job, the other finds it there; both answer with the same one.
  describeOrders(
    'resend racing acceptance',
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
      await assertWholeOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 1);
    },
  );

  // The store is down for longer than every lease while items are in flight.
  // Owners keep what they have and commit it when the store is back; nobody
  // judges a lease by time that the outage took, so nothing is run again.
  describeOrders(
    'store down in the middle of a job',
    ['all of it', 'the table alone', 'the objects alone'] as const,
    async order => {
      const fleet = await createBatchFleet({itemMs: 2000});
      const first = await fleet.startInstance('entry-1');
      await fleet.startInstance('entry-2');
      const ids = makeIds(120);
      const jobId = await sendJob(first, ids);
      await fleet.advance(15_000);
      const {faults} = fleet.platform;
      if (order === 'all of it') faults.down = true;
      if (order === 'the table alone') faults.downServices = ['table'];
      if (order === 'the objects alone') faults.downServices = ['objects'];
      // It comes back between two renewals: others look at leases first.
      await fleet.advance(4 * LEASE_DURATION_MS + 1500);
      faults.down = false;
      faults.downServices = [];
      await fleet.advance(60_000);
      await assertWholeOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 1);
    },
  );

  // The store is down for nearly a lease while items run on. One owner misses
  // its renewal; the other renewed just before, so its own lease is held when
  // the store is back. If it judged the first one's lease by the time of the
  // outage, it would take its segments and run all of their items again.
  describeOrders(
    'store down for nearly a lease',
    ['all of it', 'the table alone'] as const,
    async order => {
      const fleet = await createBatchFleet({itemMs: 100_000, slots: 80});
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(80);
      const jobId = await sendJob(first, ids);
      await fleet.advance(8000);
      await fleet.startInstance('entry-2');
      // Renewals: the first's at 10 s and 20 s, the second's at 18 s.
      await fleet.advance(10_500);
      const {faults} = fleet.platform;
      if (order === 'all of it') faults.down = true;
      else faults.downServices = ['table'];
      await fleet.advance(26_000);
      faults.down = false;
      faults.downServices = [];
      await fleet.advance(200_000);
      await assertWholeOnce(fleet, jobId, ids);
      assertRunsAtMost(fleet, 1);
    },
  );

  // One item kills whoever runs it. Each loss makes the next owner run smaller
  // groups, until the item is alone in one; then it ends as an error line, and
  // all others have their answers.
  describeOrders(
    'item that kills its instance',
    ['first of its segment', 'last of its segment'] as const,
    async order => {
      const fleet = await createBatchFleet({segmentItems: 100, slots: 200});
      const ids = makeIds(100);
      const poison = order === 'first of its segment' ? 'i0' : 'i99';
      let deaths = 0;
      fleet.hooks.onBegin = (customId, {process}) => {
        if (customId !== poison) return;
        process.kill();
        deaths++;
      };
      const jobId = await sendJob(await fleet.startInstance('entry-0'), ids);
      for (let replacement = 1; replacement < 10; replacement++) {
        await fleet.advance(PAST_LEASE_MS + 30_000);
        await fleet.startInstance(`entry-${replacement}`);
      }
      await fleet.advance(PAST_LEASE_MS + 30_000);
      const lines = await assertWholeOnce(fleet, jobId, ids);
      const failed = lines.filter(({error}) => error !== null);
      assert.deepEqual(
        failed.map(({custom_id, error}) => [custom_id, error?.verdict]),
        [[poison, 'may-have-run']],
      );
      assert.equal(deaths, CAREFUL_GROUP_ITEMS.length);
    },
  );

  // An item fails on every endpoint. After its attempts it ends as an error
  // line; the bundle is returned whole.
  describeOrders(
    'item that fails each time',
    ['as a failure', 'as a crash'] as const,
    async order => {
      const fleet = await createBatchFleet();
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(10);
      fleet.hooks.onBegin = customId => {
        if (customId !== 'i5') return;
        if (order === 'as a crash') throw new TypeError('unexpected');
        throw new RouterError('endpoint_failed', 'broken', {verdict: 'ran'});
      };
      const jobId = await sendJob(first, ids);
      await fleet.advance(60_000);
      const lines = await assertWholeOnce(fleet, jobId, ids);
      assert.notEqual(lines[5].error, null);
      assert.equal(fleet.countRuns('i5'), 3);
    },
  );

  // Items may not run twice. Their owner dies; those that it may have begun
  // end as may-have-run and are not run again, the others run once.
  describeOrders(
    'owner of non-idempotent items dying',
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
      const lines = await assertWholeOnce(fleet, jobId, ids);
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

  // Endpoints turn items away again and again while online work holds them.
  // That costs an item none of its attempts, and it is answered in the end.
  describeOrders(
    'items that find no room',
    ['not run', 'perhaps run'] as const,
    async order => {
      const fleet = await createBatchFleet();
      const first = await fleet.startInstance('entry-1');
      const ids = makeIds(10);
      fleet.hooks.onBegin = customId => {
        if (fleet.countRuns(customId) > 6) return;
        throw new RouterError('overloaded', 'no room', {
          verdict: order === 'not run' ? 'not-run' : 'may-have-run',
        });
      };
      const jobId = await sendJob(first, ids);
      await fleet.advance(60_000);
      const lines = await assertWholeOnce(fleet, jobId, ids);
      assert.ok(lines.every(({error}) => error === null));
    },
  );

  describe('two at once', () => {
    // The owner dies while the store is down for longer than its lease. When
    // the store is back its successor waits out a whole lease and takes over.
    describeOrders(
      'an owner dying and the store down',
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
        await assertWholeOnce(fleet, jobId, ids);
        assertRunsAtMost(fleet, 2);
      },
    );

    // The owner is paused past its lease with a commit under way whose answer
    // is lost; its successor loses answers too. Either result is committed
    // once, and reads stay the same.
    describeOrders(
      'a paused owner and lost answers',
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
        await assertWholeOnce(fleet, jobId, ids);
      },
    );

    // Two owners die one after the other while a cancel comes in between.
    describeOrders(
      'two owners dying and a cancel',
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
