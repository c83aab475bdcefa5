/**
 * Buffers a small response while it is forwarded, and records it before its
 * end.
 */
import type {EndpointEvent} from '../endpoints/endpoint_adapter.js';
import {MAX_RECORDED_BYTES, type RecordedEnd} from './intents.js';

/** Records one response. */
export interface AnswerRecorder {
  /**
   * Yields the events unchanged. `finish` is called with the complete response
   * before the last event is yielded, so a caller that has read the end finds
   * it recorded. If the consumer stops reading, the rest is still read and
   * recorded.
   */
  record(
    events: AsyncIterable<EndpointEvent>,
    finish: (end: RecordedEnd) => Promise<void>,
  ): AsyncGenerator<EndpointEvent>;
  /** Whether the end of the response was received. */
  hasEnded(): boolean;
}

export function createAnswerRecorder(): AnswerRecorder {
  const parts: Buffer[] = [];
  let size = 0;
  let head = {status: 0, headers: {} as Record<string, string>};
  let hasEnded = false;

  function noteEvent(event: EndpointEvent) {
    if (event.kind === 'head') head = event;
    if (event.kind !== 'data') return;
    size += event.payload.length;
    if (size <= MAX_RECORDED_BYTES) parts.push(event.payload);
  }

  function buildEnd(): RecordedEnd {
    const isSmall = size <= MAX_RECORDED_BYTES;
    return {
      kind: 'answered',
      status: head.status,
      headers: head.headers,
      body: isSmall ? Buffer.concat(parts).toString('base64') : undefined,
    };
  }

  return {
    hasEnded: () => hasEnded,
    async *record(events, finish) {
      const iterator = events[Symbol.asyncIterator]();
      async function readNext(): Promise<EndpointEvent | undefined> {
        const next = await iterator.next();
        if (next.done) return undefined;
        noteEvent(next.value);
        if (next.value.kind !== 'end') return next.value;
        hasEnded = true;
        await finish(buildEnd());
        return next.value;
      }
      try {
        for (let event = await readNext(); event; event = await readNext()) {
          yield event;
        }
      } finally {
        while (!hasEnded && (await readNext()));
      }
    },
  };
}
