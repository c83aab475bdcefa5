/** Parts of the batch benchmarks: bundle, fake execution, memory sampler, output check. */
import {setTimeout as waitMs} from 'node:timers/promises';
import {MAX_LINE_BYTES} from '../../instance/batch/constants.js';
import {readLines} from '../../instance/batch/line_reader.js';
import type {Execution} from '../../instance/execution/execution.js';

const ITEM_MS = 20;
const SAMPLE_MS = 50;
const CHUNK_LINES = 200;
const PROMPT = 'read the label and the residue class of the drum. '.repeat(4);
const ANSWER = 'accepted for cleaning, residue class three; '.repeat(4);

/** Generates a bundle of `items` lines, in chunks as a connection delivers them. */
export async function* generateBundle(items: number): AsyncGenerator<Buffer> {
  for (let from = 0; from < items; from += CHUNK_LINES) {
    const to = Math.min(items, from + CHUNK_LINES);
    const lines: string[] = [];
    for (let index = from; index < to; index++) lines.push(buildLine(index));
    yield Buffer.from(lines.join(''));
  }
}

function buildLine(index: number): string {
  const item = {
    custom_id: `item-${index}`,
    method: 'POST',
    url: '/v1/chat/completions',
    body: {
      model: 'drum-reader-7b',
      messages: [{role: 'user', content: `${PROMPT}${index}`}],
    },
  };
  return `${JSON.stringify(item)}\n`;
}

/** Creates an execution that answers each request after ITEM_MS, without a limit. */
export function createFakeExecution(): Execution {
  return {
    async collect({requestId, model}, onStarted) {
      onStarted?.();
      await waitMs(ITEM_MS);
      const choice = {index: 0, delta: {content: ANSWER}};
      const chunk = {id: requestId, model, choices: [choice]};
      const payloads = [Buffer.from(JSON.stringify(chunk))];
      return {status: 200, headers: {}, payloads};
    },
    run() {
      throw new Error('the batch module must call collect, not run');
    },
    describeState: () => ({}),
  };
}

/** Samples the resident memory of this process, in bytes. */
export interface MemorySampler {
  stop(): {idle: number; peak: number};
}

/** Takes a sample every SAMPLE_MS until it is stopped. */
export function startMemorySampler(): MemorySampler {
  const idle = process.memoryUsage.rss();
  let peak = idle;
  const timer = setInterval(() => {
    peak = Math.max(peak, process.memoryUsage.rss());
  }, SAMPLE_MS);
  return {
    stop() {
      clearInterval(timer);
      return {idle, peak};
    },
  };
}

/** Reads an output and counts its lines; throws if one is out of order. */
export async function countLinesInOrder(
  content: AsyncIterable<Buffer>,
): Promise<number> {
  let lines = 0;
  for await (const {text} of readLines(content, MAX_LINE_BYTES, Infinity)) {
    const {custom_id: id} = JSON.parse(text) as {custom_id: string};
    if (id !== `item-${lines}`) throw new Error(`${id} on line ${lines}`);
    lines++;
  }
  return lines;
}
