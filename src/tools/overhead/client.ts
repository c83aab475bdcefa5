/** HTTP client of the overhead measurement. */
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import type {ServerAccess} from './roles.js';

/** Latencies are recorded in microseconds. */
const MICROSECONDS_PER_MS = 1000;

/** Sends requests to one server and records their latencies. */
export interface BenchClient {
  /** Time to the first byte of the response body. */
  firstByte: Histogram;
  total: Histogram;
  /** Sends one streaming request; throws if the response does not end with [DONE]. */
  sendRequest(): Promise<void>;
  /**
   * Sends requests for `durationMs`, `callers` of them concurrently; returns the number
   * that completed.
   */
  sendMany(callers: number, durationMs: number): Promise<number>;
  close(): Promise<void>;
}

/** `prompt` is sent with each request. */
export function createBenchClient(
  {address, key}: ServerAccess,
  prompt: string,
): BenchClient {
  const dispatcher = new Agent({connections: null, pipelining: 1});
  const firstByte = build({numberOfSignificantValueDigits: 3});
  const total = build({numberOfSignificantValueDigits: 3});
  const body = JSON.stringify({
    model: 'drum-reader-7b',
    stream: true,
    messages: [{role: 'user', content: prompt}],
  });
  let sent = 0;

  async function sendRequest() {
    const startedAt = performance.now();
    const answer = await request(`http://${address}/v1/chat/completions`, {
      dispatcher,
      method: 'POST',
      body,
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'x-request-id': `bench-${sent++}`,
      },
    });
    let text = '';
    let firstMs = 0;
    for await (const piece of answer.body) {
      firstMs ||= performance.now() - startedAt;
      text = String(piece);
    }
    if (!text.includes('[DONE]'))
      throw new Error(`response ended without [DONE]: ${text}`);
    firstByte.recordValue(Math.round(firstMs * MICROSECONDS_PER_MS));
    const totalMs = performance.now() - startedAt;
    total.recordValue(Math.round(totalMs * MICROSECONDS_PER_MS));
  }

  return {
    firstByte,
    total,
    sendRequest,
    async sendMany(callers, durationMs) {
      const until = performance.now() + durationMs;
      let completed = 0;
      const runCaller = async () => {
        while (performance.now() < until) {
          await sendRequest();
          completed++;
        }
      };
      await Promise.all(Array.from({length: callers}, runCaller));
      return completed;
    },
    close: () => dispatcher.destroy(),
  };
}
