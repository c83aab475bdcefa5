/**
 * Batch bundles: files of items, jobs over them, and their whole outputs, all
 * of it in the platform's table and object store.
 */
import {z} from 'zod';
import type {Clock} from '../../common/clock.js';
import {RouterError, toRouterError} from '../../common/errors.js';
import {generateId, hashText} from '../../common/ids.js';
import type {Platform} from '../../platform/platform.js';
import type {Row} from '../../platform/table_store.js';
import type {
  Configuration,
  VersionedDocument,
} from '../configuration/configuration.js';
import {collectCompletion, isCompletionPath} from '../execution/completions.js';
import type {Execution} from '../execution/execution.js';
import type {KeyDirectory, KeyOwner} from '../keys/key_directory.js';

const JOBS_PARTITION = 'jobs';

/** One line of a bundle. */
export const batchItemSchema = z.strictObject({
  custom_id: z.string().min(1),
  method: z.literal('POST'),
  url: z.string().refine(isCompletionPath, 'must be a completions path'),
  body: z.looseObject({model: z.string()}),
});

/** An item as submitted. */
export type BatchItem = z.infer<typeof batchItemSchema>;

/** What the callers' interface asks of batch. */
export interface Batch {
  createFile(owner: KeyOwner, body: Buffer): Promise<{id: string}>;
  createJob(
    owner: KeyOwner,
    fileId: string,
    idempotencyKey: string,
  ): Promise<{id: string}>;
  describeJob(owner: KeyOwner, jobId: string): Promise<Record<string, unknown>>;
  /** The output of a complete job, one line for each item, in order. */
  readOutput(owner: KeyOwner, jobId: string): Promise<Buffer>;
  /** Looks for work and does it. */
  poll(): Promise<void>;
}

/** Everything batch works with. */
export interface BatchDependencies {
  clock: Clock;
  platform: Platform;
  configuration: Configuration;
  keys: KeyDirectory;
  execution: Execution;
}

/** Runs whole jobs, one at a time, on the instance that accepted them. */
export function createBatch(dependencies: BatchDependencies): Batch {
  const {platform, execution, configuration, clock} = dependencies;
  const pending: string[] = [];

  async function fetchJob(owner: KeyOwner, jobId: string): Promise<Row> {
    const row = await platform.table.get({
      partition: JOBS_PARTITION,
      sort: jobId,
    });
    if (row && row.fields.account === owner.account) return row;
    throw new RouterError('not_found', `there is no job '${jobId}'`, {
      verdict: 'not-run',
      field: 'batch_id',
    });
  }

  async function runItem(account: string, item: BatchItem): Promise<object> {
    const service = findService(configuration, item.body.model);
    const payloads: Buffer[] = [];
    const body = Buffer.from(JSON.stringify({...item.body, stream: true}));
    const events = execution.run({
      requestId: generateId('item'),
      service,
      account,
      workClass: 'batch',
      method: item.method,
      path: item.url,
      headers: {'content-type': 'application/json'},
      body,
      model: item.body.model,
      deadline: clock.now() + service.document.batch.item_deadline,
      promptTokens: Math.ceil(body.length / 4),
      answerTokens: 128,
      prefixHashes: [],
      idempotent: service.document.batch.idempotent,
      authorize: () => {},
      signal: new AbortController().signal,
    });
    for await (const event of events) {
      if (event.kind === 'data') payloads.push(event.payload);
    }
    return collectCompletion(item.url, payloads);
  }

  async function runLine(account: string, line: string): Promise<string> {
    const item = batchItemSchema.parse(JSON.parse(line));
    try {
      const answer = await runItem(account, item);
      return JSON.stringify({custom_id: item.custom_id, response: answer});
    } catch (thrown) {
      const {code, message, verdict} = toRouterError(thrown, 'may-have-run');
      const error = {code, message, verdict};
      return JSON.stringify({custom_id: item.custom_id, error});
    }
  }

  async function runJob(jobId: string) {
    const key = {partition: JOBS_PARTITION, sort: jobId};
    const row = await platform.table.get(key);
    if (!row || row.fields.state !== 'accepted') return;
    const input = await platform.objects.get(`files/${row.fields.fileId}`);
    const lines = splitLines(input ?? Buffer.alloc(0));
    const output: string[] = [];
    for (const line of lines) {
      output.push(await runLine(String(row.fields.account), line));
    }
    await platform.objects.put(
      `outputs/${jobId}`,
      Buffer.from(output.map(line => `${line}\n`).join('')),
    );
    await platform.table.transact([
      {
        kind: 'put',
        key,
        fields: {...row.fields, state: 'completed', completed: output.length},
        condition: {kind: 'version', version: row.version},
      },
    ]);
  }

  return {
    async createFile(owner, body) {
      splitLines(body).forEach(checkLine);
      const id = `file-${hashText(`${owner.account}\n${hashText(body)}`)}`;
      await platform.objects.put(`files/${id}`, body);
      return {id};
    },
    async createJob(owner, fileId, idempotencyKey) {
      const id = `batch-${hashText(`${owner.account}\n${idempotencyKey}`)}`;
      await platform.table.transact([
        {
          kind: 'put',
          key: {partition: JOBS_PARTITION, sort: id},
          fields: {account: owner.account, fileId, state: 'accepted'},
          condition: {kind: 'absent'},
        },
      ]);
      pending.push(id);
      return {id};
    },
    async describeJob(owner, jobId) {
      const row = await fetchJob(owner, jobId);
      return {id: jobId, object: 'batch', status: row.fields.state};
    },
    async readOutput(owner, jobId) {
      await fetchJob(owner, jobId);
      const output = await platform.objects.get(`outputs/${jobId}`);
      if (output) return output;
      throw new RouterError('not_found', 'the job is not complete', {
        verdict: 'not-run',
      });
    },
    async poll() {
      const jobId = pending.shift();
      if (jobId) await runJob(jobId);
    },
  };
}

function findService(
  configuration: Configuration,
  model: string,
): VersionedDocument {
  const found = configuration
    .list()
    .find(({document}) => document.service.models.includes(model));
  if (found) return found;
  throw new RouterError('not_found', `there is no model '${model}'`, {
    verdict: 'not-run',
    field: 'model',
  });
}

function splitLines(body: Buffer): string[] {
  return body
    .toString('utf8')
    .split('\n')
    .filter(line => line.trim() !== '');
}

function checkLine(line: string, index: number) {
  try {
    batchItemSchema.parse(JSON.parse(line));
  } catch (error) {
    throw new RouterError(
      'invalid_request',
      `line ${index + 1}: ${(error as Error).message}`,
      {verdict: 'not-run', field: `line ${index + 1}`},
    );
  }
}
