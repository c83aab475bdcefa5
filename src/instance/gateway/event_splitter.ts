/**
 * Splits the bytes of an event stream after whole events, without changing
 * them, so that a stream can be taken up by another endpoint: half an event
 * that was cut off is dropped, and the rest is asked for after the last id.
 */

/** Bytes that end an event, and ids of the events that ended. */
export interface EventSplitter {
  /** The bytes up to the end of the last whole event; may be empty. */
  push(chunk: Buffer): Buffer;
  /** Id of the last whole event; undefined before the first that has one. */
  getLastId(): string | undefined;
  /** Id of the first whole event. */
  getFirstId(): string | undefined;
  /** Bytes of an event that has not ended. */
  getRest(): Buffer;
}

const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(.*)$/gm;

/** Starts at the beginning of a stream, or after a whole event of it. */
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
    getRest: () => rest,
  };
}
