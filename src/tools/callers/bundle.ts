/** A bundle as its planner submits it, and the check that it came back whole. */
import {request} from 'undici';
import {sendThrough, type Balancer} from './balancer.js';

const POLL_MS = 250;

/** The connection of a planner. */
export interface BundleCaller {
  balancer: Balancer;
  key: string;
  now: () => number;
}

/** What is submitted. */
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

/** Faults of an output; all zero when each item has one line, in order. */
export interface OutputCheck {
  lines: number;
  missing: number;
  doubled: number;
  misplaced: number;
  errors: number;
}

interface JobAnswer {
  id: string;
  status: string;
  output_file_id: string | null;
  request_counts: {total: number; completed: number; failed: number};
}

/** Lines of a bundle: item `n` asks for manifest `n`. */
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

/** Uploads and submits; returns the job's id. Throws with the refusal. */
export async function sendBundle(
  caller: BundleCaller,
  bundle: Bundle,
): Promise<string> {
  const file = await sendCall<{id: string}>(caller, 'POST', '/v1/files', {
    body: buildBundleLines(bundle),
    headers: {'content-type': 'application/jsonl'},
  });
  const job = await sendCall<JobAnswer>(caller, 'POST', '/v1/batches', {
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

/** Counts of a job now. */
export async function fetchProgress(
  caller: BundleCaller,
  jobId: string,
): Promise<BundleProgress> {
  const job = await sendCall<JobAnswer>(caller, 'GET', `/v1/batches/${jobId}`);
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
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  return undefined;
}

/** Reads the output and looks for what is missing, doubled or out of place. */
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
