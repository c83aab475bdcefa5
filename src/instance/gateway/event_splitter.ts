/**
 * Splits the bytes of an event stream at event boundaries without changing
 * them, so that another endpoint can resume a broken stream: a partial event is
 * dropped, and the stream is requested from after the last complete event's id.
 */

/** Splits one run's stream and records the ids of its complete events. */
export interface EventSplitter {
  /**
   * Returns the bytes up to the end of the last complete event; may be empty.
   */
  push(chunk: Buffer): Buffer;
  /** Id of the last complete event; undefined before the first that has one. */
  getLastId(): string | undefined;
  /** Id of the first complete event. */
  getFirstId(): string | undefined;
  /** Bytes of an event that has not ended. */
  getPartialEvent(): Buffer;
}

const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(.*)$/gm;

/** The first chunk must start at the beginning of an event. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  let firstId: string | undefined;
  let lastId: string | undefined;

  function noteIds(events: Buffer) {
    for (const [, id] of events.toString('utf8').matchAll(ID_LINE)) {
      firstId ??= id;
      lastId = id;
    }
  }

  return {
    push(chunk) {
      const bytes = rest.length > 0 ? Buffer.concat([rest, chunk]) : chunk;
      const end = bytes.lastIndexOf(EVENT_END);
      if (end < 0) {
        rest = bytes;
        return bytes.subarray(0, 0);
      }
      const events = bytes.subarray(0, end + EVENT_END.length);
      rest = bytes.subarray(events.length);
      noteIds(events);
      return events;
    },
    getLastId: () => lastId,
    getFirstId: () => firstId,
    getPartialEvent: () => rest,
  };
}
