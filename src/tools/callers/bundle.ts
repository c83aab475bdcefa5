/** Submits a bundle over HTTP as a caller does, and checks that its output is complete. */
import {request} from 'undici';
import {sendThrough, type Balancer} from './balancer.js';

const POLL_INTERVAL_MS = 250;

/** How a caller of bundles reaches the fleet. */
export interface BundleCaller {
  balancer: Balancer;
  key: string;
  now: () => number;
}

/** A bundle to submit. */
export interface Bundle {
  model: string;
  items: number;
  maxTokens: number;
  idempotencyKey: string;
}

/** Counts of a job. */
export interface BundleProgress {
  status: string;
  total: number;
  completed: number;
  failed: number;
}

/**
 * Faults of an output. All but `lines` are 0 when each item has exactly one line, in
 * order and without an error.
 */
export interface OutputCheck {
  lines: number;
  missing: number;
  doubled: number;
  misplaced: number;
  errors: number;
}

interface JobResponse {
  id: string;
  status: string;
  output_file_id: string | null;
  request_counts: {total: number; completed: number; failed: number};
}

/** Returns the lines of a bundle; the prompt of item `n` is `manifest n`. */
export function buildBundleLines({model, items, maxTokens}: Bundle): string {
  const lines = Array.from({length: items}, (_, index) =>
    JSON.stringify({
      custom_id: `item-${index}`,
      method: 'POST',
      url: '/v1/chat/completions',
      body: {
        model,
        max_tokens: maxTokens,
        messages: [{role: 'user', content: `manifest ${index}`}],
      },
    }),
  );
  return lines.join('\n');
}

/**
 * Uploads and submits a bundle; returns the job's id. Throws an error with status and
 * body of a response other than 200.
 */
export async function sendBundle(
  caller: BundleCaller,
  bundle: Bundle,
): Promise<string> {
  const file = await sendCall<{id: string}>(caller, 'POST', '/v1/files', {
    body: buildBundleLines(bundle),
    headers: {'content-type': 'application/jsonl'},
  });
  const job = await sendCall<JobResponse>(caller, 'POST', '/v1/batches', {
    body: JSON.stringify({
      input_file_id: file.id,
      endpoint: '/v1/chat/completions',
      completion_window: '24h',
    }),
    headers: {
      'content-type': 'application/json',
      'idempotency-key': bundle.idempotencyKey,
    },
  });
  return job.id;
}

/** Fetches the present counts of a job. */
export async function fetchProgress(
  caller: BundleCaller,
  jobId: string,
): Promise<BundleProgress> {
  const job = await sendCall<JobResponse>(
    caller,
    'GET',
    `/v1/batches/${jobId}`,
  );
  return {status: job.status, ...job.request_counts};
}

/** Waits until the job is completed; undefined when `timeoutMs` passed first. */
export async function awaitBundle(
  caller: BundleCaller,
  jobId: string,
  timeoutMs: number,
): Promise<BundleProgress | undefined> {
  const until = caller.now() + timeoutMs;
  while (caller.now() < until) {
    const progress = await fetchProgress(caller, jobId).catch(() => undefined);
    if (progress?.status === 'completed') return progress;
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return undefined;
}

/** Reads the output and counts items that are missing, duplicated or out of order. */
export async function checkOutput(
  caller: BundleCaller,
  jobId: string,
  items: number,
): Promise<OutputCheck> {
  const text = await sendCall<string>(
    caller,
    'GET',
    `/v1/batches/${jobId}/output`,
    {raw: true},
  );
  const lines = text.split('\n').filter(line => line !== '');
  const seen = new Set<string>();
  const check = {lines: lines.length, doubled: 0, misplaced: 0, errors: 0};
  for (const [index, line] of lines.entries()) {
    const {custom_id: id, response} = JSON.parse(line);
    if (seen.has(id)) check.doubled++;
    if (id !== `item-${index}`) check.misplaced++;
    if (!response) check.errors++;
    seen.add(id);
  }
  return {...check, missing: items - seen.size};
}

interface CallOptions {
  body?: string;
  headers?: Record<string, string>;
  raw?: boolean;
}

async function sendCall<Answer>(
  {balancer, key, now}: BundleCaller,
  method: 'GET' | 'POST',
  path: string,
  {body, headers, raw}: CallOptions = {},
): Promise<Answer> {
  const answer = await sendThrough(balancer, now, address =>
    request(`http://${address}${path}`, {
      method,
      body,
      headers: {authorization: `Bearer ${key}`, ...headers},
    }),
  );
  const text = await answer.body.text();
  if (answer.statusCode !== 200) {
    throw new Error(`${method} ${path}: ${answer.statusCode} ${text}`);
  }
  return (raw ? text : JSON.parse(text)) as Answer;
}
