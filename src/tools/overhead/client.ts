/** The caller of the overhead measurement. */
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import type {ServerPlace} from './roles.js';

/** Latencies are recorded in microseconds. */
const MICROSECONDS_PER_MS = 1000;

/** Calls one server and keeps its latencies. */
export interface BenchClient {
  /** To the first byte of the answer's body. */
  firstByte: Histogram;
  total: Histogram;
  /** One streamed question; throws when its answer is not whole. */
  sendQuestion(): Promise<void>;
  /** Questions from `callers` at once for `durationMs`; returns how many. */
  sendMany(callers: number, durationMs: number): Promise<number>;
  close(): Promise<void>;
}

/** `prompt` is sent with each question. */
export function createBenchClient(
  {address, key}: ServerPlace,
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

  async function sendQuestion() {
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
    if (!text.includes('[DONE]')) throw new Error(`not whole: ${text}`);
    firstByte.recordValue(Math.round(firstMs * MICROSECONDS_PER_MS));
    const totalMs = performance.now() - startedAt;
    total.recordValue(Math.round(totalMs * MICROSECONDS_PER_MS));
  }

  return {
    firstByte,
    total,
    sendQuestion,
    async sendMany(callers, durationMs) {
      const until = performance.now() + durationMs;
      let answered = 0;
      const runCaller = async () => {
        while (performance.now() < until) {
          await sendQuestion();
          answered++;
        }
      };
      await Promise.all(Array.from({length: callers}, runCaller));
      return answered;
    },
    close: () => dispatcher.destroy(),
  };
}
