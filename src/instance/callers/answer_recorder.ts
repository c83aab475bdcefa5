/** Keeps a small answer while it passes, and records it before its end. */
import type {EndpointEvent} from '../endpoints/endpoint_adapter.js';
import {MAX_RECORDED_BYTES, type RecordedEnd} from './intents.js';

/** Records one answer. */
export interface AnswerRecorder {
  /**
   * Passes the events on. `finish` is called with the whole answer before the
   * last event: whoever has read the end finds it recorded. A consumer that
   * stops reading does not stop the call; the rest is read for the record.
   */
  record(
    events: AsyncIterable<EndpointEvent>,
    finish: (end: RecordedEnd) => Promise<void>,
  ): AsyncGenerator<EndpointEvent>;
  /** Whether the whole answer was recorded. */
  hasEnded(): boolean;
}

/** For one answer. */
export function createAnswerRecorder(): AnswerRecorder {
  const parts: Buffer[] = [];
  let size = 0;
  let head = {status: 0, headers: {} as Record<string, string>};
  let ended = false;

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
    hasEnded: () => ended,
    async *record(events, finish) {
      const iterator = events[Symbol.asyncIterator]();
      async function readNext(): Promise<EndpointEvent | undefined> {
        const next = await iterator.next();
        if (next.done) return undefined;
        noteEvent(next.value);
        if (next.value.kind !== 'end') return next.value;
        ended = true;
        await finish(buildEnd());
        return next.value;
      }
      try {
        for (let event = await readNext(); event; event = await readNext()) {
          yield event;
        }
      } finally {
        while (!ended && (await readNext()));
      }
    },
  };
}
