/** HTTP client with which the `jobs` commands call an instance's callers address. */
import {createReadStream, readFileSync} from 'node:fs';
import {request, type Dispatcher} from 'undici';
import * as z from 'zod';

const HEADERS_TIMEOUT_MS = 60_000;

/** Environment variable that holds the client account key. */
export const KEY_VARIABLE = 'MULBERRY_KEY';

/** Environment variable that holds the instance's callers address. */
export const ADDRESS_VARIABLE = 'MULBERRY_ADDRESS';

const jobSchema = z.looseObject({
  id: z.string(),
  status: z.string(),
  input_file_id: z.string(),
  output_file_id: z.string().nullable(),
  created_at: z.number(),
  expires_at: z.number(),
  request_counts: z.object({
    total: z.number(),
    completed: z.number(),
    failed: z.number(),
  }),
});

/** A job as an instance returns it. */
export type Job = z.infer<typeof jobSchema>;

const fileSchema = z.looseObject({id: z.string(), items: z.number()});
const jobListSchema = z.looseObject({
  data: z.array(jobSchema),
  has_more: z.boolean(),
});
const refusalSchema = z.looseObject({
  error: z.looseObject({message: z.string()}),
});

/** The instance refused the call, or no connection to it succeeded. */
export class JobsCallError extends Error {
  readonly exitCode = 1;

  constructor(message: string, cause?: unknown) {
    super(message, {cause});
    this.name = 'JobsCallError';
  }
}

/** Options of a new job. */
export interface JobOptions {
  window: string;
  idempotencyKey: string | undefined;
}

/**
 * Calls one instance with one key. Methods reject with JobsCallError if the instance
 * refuses the call or cannot be reached.
 */
export interface JobsClient {
  /** Streams a bundle from disk; returns the file that the instance created from it. */
  upload(path: string): Promise<{id: string; items: number}>;
  create(fileId: string, options: JobOptions): Promise<Job>;
  get(jobId: string): Promise<Job>;
  cancel(jobId: string): Promise<Job>;
  /** The newest jobs, at most 100. */
  list(): Promise<Job[]>;
  /** Streams the output of a completed job. */
  openOutput(jobId: string): Promise<AsyncIterable<Buffer>>;
}

/**
 * Reads the key from a file or the environment. It is never an argument of the command,
 * because arguments are visible in the machine's process list.
 */
export function readKey(keyFile: string | undefined): string {
  const key = keyFile
    ? readFileSync(keyFile, 'utf8').trim()
    : process.env[KEY_VARIABLE];
  if (key) return key;
  throw new JobsCallError(
    `no key: set ${KEY_VARIABLE} or name a file with --key-file`,
  );
}

/** `address` is IP:PORT. */
export function createJobsClient(address: string, key: string): JobsClient {
  async function send(
    path: string,
    options: Omit<Dispatcher.RequestOptions, 'path' | 'method'> & {
      method?: Dispatcher.HttpMethod;
    } = {},
  ): Promise<Dispatcher.ResponseData> {
    const answer = await request(`http://${address}${path}`, {
      headersTimeout: HEADERS_TIMEOUT_MS,
      ...options,
      headers: {authorization: `Bearer ${key}`, ...options.headers},
    }).catch(error => {
      throw new JobsCallError(
        `no instance answers at ${address}: ${(error as Error).message}`,
        error,
      );
    });
    if (answer.statusCode === 200) return answer;
    throw new JobsCallError(await readRefusal(answer));
  }

  async function fetchJob(
    path: string,
    options?: Parameters<typeof send>[1],
  ): Promise<Job> {
    const answer = await send(path, options);
    return jobSchema.parse(await answer.body.json());
  }

  return {
    async upload(path) {
      const answer = await send('/v1/files', {
        method: 'POST',
        body: createReadStream(path),
        headers: {'content-type': 'application/jsonl'},
      });
      return fileSchema.parse(await answer.body.json());
    },
    create: (fileId, {window, idempotencyKey}) =>
      fetchJob('/v1/batches', {
        method: 'POST',
        body: JSON.stringify({
          input_file_id: fileId,
          completion_window: window,
          idempotency_key: idempotencyKey,
        }),
        headers: {'content-type': 'application/json'},
      }),
    get: jobId => fetchJob(`/v1/batches/${jobId}`),
    cancel: jobId => fetchJob(`/v1/batches/${jobId}/cancel`, {method: 'POST'}),
    async list() {
      const answer = await send('/v1/batches?limit=100');
      return jobListSchema.parse(await answer.body.json()).data;
    },
    async openOutput(jobId) {
      return (await send(`/v1/batches/${jobId}/output`)).body;
    },
  };
}

async function readRefusal(answer: Dispatcher.ResponseData): Promise<string> {
  const text = await answer.body.text();
  try {
    return refusalSchema.parse(JSON.parse(text)).error.message;
  } catch {
    return `the instance responded with status ${answer.statusCode}`;
  }
}
