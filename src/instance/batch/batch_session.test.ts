/** Tests a session with bundles over HTTP against a golden file. */
import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {FormData, request} from 'undici';
import {createJobsClient} from '../../cli/jobs/jobs_client.js';
import {createSystemClock} from '../../common/clock.js';
import {createSilentLog} from '../../common/log.js';
import {
  startEngineServer,
  type EngineServer,
} from '../../stand_ins/engine/engine_server.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {makeBundle} from '../../testing/batch_fleet.js';
import {
  ENGINE_DOCUMENT,
  makeEndpoint,
  makeSettings,
} from '../../testing/fixtures.js';
import {assertGolden, normalizeSession} from '../../testing/golden.js';
import {applyServiceDocument} from '../configuration/configuration.js';
import {startInstance, type Instance} from '../instance.js';
import {giveKey} from '../keys/key_directory.js';

describe('batch session over HTTP', () => {
  const platform = createMemoryPlatform();
  let engine: EngineServer;
  let instance: Instance;
  let secret: string;
  let session = '';

  before(async () => {
    engine = await startEngineServer();
    platform.setInstances([makeEndpoint(engine.address)]);
    await applyServiceDocument(platform.table, ENGINE_DOCUMENT, 'tester');
    ({secret} = await giveKey(platform.table, 'gate'));
    instance = await startInstance({
      settings: makeSettings(),
      platform,
      clock: createSystemClock(),
      log: createSilentLog(),
    });
  });

  after(async () => {
    await instance.stop();
    await engine.stop();
  });

  /**
   * Sends a request, records the response and returns its body if it is JSON.
   */
  async function sendCall(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: string | FormData,
    headers: Record<string, string> = {},
  ): Promise<Record<string, unknown>> {
    const answer = await request(`http://${instance.callersAddress}${path}`, {
      method,
      body,
      headers: {authorization: `Bearer ${secret}`, ...headers},
    });
    const text = await answer.body.text();
    session += `${method} ${path}\n${answer.statusCode}\n${text}\n\n`;
    try {
      return JSON.parse(text) as Record<string, unknown>;
    } catch {
      return {};
    }
  }

  function buildForm(content: string, purpose: string): FormData {
    const form = new FormData();
    form.set('purpose', purpose);
    form.set('file', new Blob([content]), 'evening.jsonl');
    return form;
  }

  async function awaitCompleted(jobId: string) {
    const client = createJobsClient(instance.callersAddress, secret);
    while ((await client.get(jobId)).status === 'in_progress');
  }

  it('matches the golden file', async () => {
    const bundle = makeBundle(['a', 'b']);
    await sendCall('POST', '/v1/files', buildForm(bundle, 'fine-tune'));
    await sendCall('POST', '/v1/files', `${bundle}\n{"custom_id":"c"}\nno`);
    const file = await sendCall(
      'POST',
      '/v1/files',
      buildForm(bundle, 'batch'),
    );
    await sendCall('GET', `/v1/files/${file.id}/content`);
    const evening = {input_file_id: file.id, completion_window: '2h'};
    const key = {'idempotency-key': 'evening-1'};
    const create = (body: object, headers = {}) =>
      sendCall('POST', '/v1/batches', JSON.stringify(body), headers);
    const job = await create(evening, key);
    await awaitCompleted(String(job.id));
    await create(evening, key);
    await create({...evening, metadata: {truck: '7'}}, key);
    await create({...evening, completion_window: 'soon'}, key);
    await create({...evening, input_file_id: 'file-unknown'});
    const done = await sendCall('GET', `/v1/batches/${job.id}`);
    await sendCall('GET', `/v1/files/${done.output_file_id}`);
    await sendCall('GET', `/v1/files/${done.output_file_id}/content`);
    await sendCall('GET', '/v1/batches?limit=1');
    await sendCall('POST', `/v1/batches/${job.id}/cancel`);
    await sendCall('GET', '/v1/batches/batch-unknown');
    await sendCall('DELETE', `/v1/files/${file.id}`);
    await sendCall('GET', `/v1/files/${file.id}`);
    assertGolden(
      'instance/golden/bundle_session.txt',
      normalizeSession(session),
    );
  });

  it('cancels a job over HTTP', async () => {
    engine.options.betweenTokensMs = 1000;
    const file = await sendCall('POST', '/v1/files', makeBundle(['slow']));
    const job = await sendCall(
      'POST',
      '/v1/batches',
      JSON.stringify({input_file_id: file.id}),
    );
    const cancelled = await sendCall('POST', `/v1/batches/${job.id}/cancel`);
    assert.equal(cancelled.status, 'cancelled');
    const again = await sendCall('POST', `/v1/batches/${job.id}/cancel`);
    assert.deepEqual(again, cancelled);
    const output = await sendCall('GET', `/v1/batches/${job.id}/output`);
    assert.match(JSON.stringify(output), /the job is cancelled/);
    engine.options.betweenTokensMs = 1;
  });

  it('works with the client of the jobs commands', async () => {
    const directory = mkdtempSync(join(tmpdir(), 'mulberry-'));
    const path = join(directory, 'bundle.jsonl');
    writeFileSync(path, makeBundle(['x', 'y']));
    const client = createJobsClient(instance.callersAddress, secret);
    const file = await client.upload(path);
    assert.equal(file.items, 2);
    const options = {window: '1h', idempotencyKey: undefined};
    const job = await client.create(file.id, options);
    assert.equal((await client.create(file.id, options)).id, job.id);
    await awaitCompleted(job.id);
    const parts: Buffer[] = [];
    for await (const part of await client.openOutput(job.id)) parts.push(part);
    const lines = Buffer.concat(parts).toString('utf8').trimEnd().split('\n');
    assert.deepEqual(
      lines.map(line => JSON.parse(line).custom_id),
      ['x', 'y'],
    );
    assert.ok((await client.list()).some(({id}) => id === job.id));
    await assert.rejects(client.cancel(job.id), {
      message: 'the job is completed already',
    });
    assert.equal(readFileSync(path, 'utf8'), makeBundle(['x', 'y']));
    rmSync(directory, {recursive: true});
  });
});
