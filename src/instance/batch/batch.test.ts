/** Tests batch with a fleet on virtual time, without faults. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createBatchFleet,
  makeBundle,
  makeIds,
  makeJobRequest,
  makeUpload,
  sendJob,
} from '../../testing/batch_fleet.js';
import {assertCompleteOnce, readOutput} from '../../testing/batch_oracle.js';
import {cancelJob} from './job_routes.js';
import {buildItemsName} from './records.js';

describe('batch bundles', () => {
  it('return complete outputs, in order, through any instance', async () => {
    const fleet = await createBatchFleet();
    const first = await fleet.startInstance('entry-1');
    await fleet.startInstance('entry-2');
    const ids = makeIds(100);
    const jobId = await sendJob(first, ids);
    await fleet.advance(60_000);
    await assertCompleteOnce(fleet, jobId, ids);
    for (const id of ids) assert.equal(fleet.countRuns(id), 1);
    const workers = [...fleet.runs.values()].map(([run]) => run.instance);
    assert.deepEqual([...new Set(workers)].sort(), ['entry-1', 'entry-2']);
  });

  it('have readable outputs after every instance was replaced', async () => {
    const fleet = await createBatchFleet();
    const first = await fleet.startInstance('entry-1');
    const ids = makeIds(9);
    const jobId = await sendJob(first, ids);
    await fleet.advance(30_000);
    const before = await readOutput(first, jobId);
    await first.drain();
    first.process.kill();
    const second = await fleet.startInstance('entry-2');
    assert.equal(await readOutput(second, jobId), before);
  });

  it('have an output only when it is complete', async () => {
    const fleet = await createBatchFleet();
    const first = await fleet.startInstance('entry-1');
    const jobId = await sendJob(first, makeIds(9));
    await fleet.advance(500);
    await assert.rejects(readOutput(first, jobId), {code: 'not_found'});
  });

  describe('uploads', () => {
    it('report the invalid lines and leave no objects', async () => {
      const fleet = await createBatchFleet();
      const {batch} = await fleet.startInstance('entry-1');
      const lines = makeBundle(makeIds(12)).split('\n');
      lines[4] = '{"custom_id":';
      lines[6] = lines[0];
      lines[9] = lines[9].replace('drum-reader-7b', 'unknown-1b');
      const upload = makeUpload(lines.join('\n'));
      await assert.rejects(batch.files.upload(upload, 0), {
        code: 'invalid_request',
        field: 'line 5',
        message:
          /^line 5: not JSON: .*; line 7: custom_id: 'i0' was used on a line before; line 10: no model 'unknown-1b'$/,
      });
      assert.deepEqual(await fleet.platform.objects.list('files/'), []);
    });

    it('refuse an empty file', async () => {
      const fleet = await createBatchFleet();
      const {batch} = await fleet.startInstance('entry-1');
      await assert.rejects(batch.files.upload(makeUpload('\n\n'), 0), {
        message: 'the file holds no items',
      });
    });

    it('of the same items create one file', async () => {
      const fleet = await createBatchFleet();
      const {batch} = await fleet.startInstance('entry-1');
      const text = makeBundle(makeIds(9));
      const first = await batch.files.upload(makeUpload(text), 0);
      const again = await batch.files.upload(makeUpload(`${text}\r\n\n`), 0);
      assert.deepEqual(again, first);
      const names = await fleet.platform.objects.list('files/');
      const {upload} = first.record;
      assert.deepEqual(
        names,
        [0, 1, 2].map(index => buildItemsName(upload, index)),
      );
    });

    it('are not deleted while a job on them is open', async () => {
      const fleet = await createBatchFleet();
      const {batch} = await fleet.startInstance('entry-1');
      const file = await batch.files.upload(
        makeUpload(makeBundle(makeIds(5))),
        0,
      );
      const {id} = await batch.jobs.create(makeJobRequest(file.id), 0);
      await assert.rejects(batch.files.delete('gate', file.id), {
        code: 'conflict',
      });
      await fleet.advance(30_000);
      await batch.files.delete('gate', file.id);
      await assertCompleteOnce(fleet, id, makeIds(5));
    });
  });

  describe('jobs', () => {
    it('are found when resent, and refused with other content', async () => {
      const fleet = await createBatchFleet();
      const first = await fleet.startInstance('entry-1');
      const second = await fleet.startInstance('entry-2');
      const jobId = await sendJob(first, makeIds(5));
      assert.equal(await sendJob(second, makeIds(5)), jobId);
      await assert.rejects(sendJob(second, makeIds(6)), {code: 'conflict'});
      assert.equal((await first.batch.jobs.list('gate')).length, 1);
    });

    it('without a key get an id derived from their content', async () => {
      const fleet = await createBatchFleet();
      const first = await fleet.startInstance('entry-1');
      const keyless = {idempotencyKey: ''};
      const jobId = await sendJob(first, makeIds(5), keyless);
      assert.equal(await sendJob(first, makeIds(5), keyless), jobId);
      assert.notEqual(await sendJob(first, makeIds(6), keyless), jobId);
    });

    it('are not found by another account', async () => {
      const fleet = await createBatchFleet();
      const {batch, ...rest} = await fleet.startInstance('entry-1');
      const jobId = await sendJob({batch, ...rest}, makeIds(5));
      await assert.rejects(batch.jobs.find('planner', jobId), {
        code: 'not_found',
      });
    });

    it('stop on all instances within 2 seconds of a cancel', async () => {
      // Both instances have items in progress when the caller cancels. Each
      // detects with the next poll that the job is not open any more, and
      // aborts its items. No further items may run.
      const fleet = await createBatchFleet({itemMs: 60_000});
      const first = await fleet.startInstance('entry-1');
      await fleet.startInstance('entry-2');
      const jobId = await sendJob(first, makeIds(40));
      await fleet.advance(2000);
      assert.ok(fleet.runs.size > 0);
      const wallNow = fleet.clock.wallNow();
      const job = await cancelJob(first.batch, 'gate', jobId, wallNow);
      assert.equal(job.record.state, 'cancelled');
      await fleet.advance(2000);
      for (const {batch} of fleet.instances) {
        const {services} = batch.describeState() as {
          services: {runningSegments: number}[];
        };
        assert.deepEqual(
          services.map(({runningSegments}) => runningSegments),
          [0],
        );
      }
      const begun = fleet.runs.size;
      await fleet.advance(120_000);
      assert.equal(fleet.runs.size, begun);
      const ended = await first.batch.jobs.find('gate', jobId);
      assert.equal(ended.record.state, 'cancelled');
    });
  });

  it('release segments on shutdown, so that others continue them', async () => {
    const fleet = await createBatchFleet({segmentItems: 100, itemMs: 1000});
    const first = await fleet.startInstance('entry-1');
    const ids = makeIds(100);
    const jobId = await sendJob(first, ids);
    await fleet.advance(1500);
    const draining = first.drain();
    await fleet.advance(1000);
    await draining;
    const begun = fleet.runs.size;
    assert.ok(begun < 100, `${begun} begun`);
    await fleet.startInstance('entry-2');
    await fleet.advance(30_000);
    await assertCompleteOnce(fleet, jobId, ids);
    for (const id of ids) assert.equal(fleet.countRuns(id), 1);
  });
});
