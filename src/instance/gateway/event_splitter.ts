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
const LINE_END = 10;
const ID_FIELD = 'id:';
const ID_AFTER_LINE = '\nid:';

/** The first chunk must start at the beginning of an event. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  let firstId: string | undefined;
  let lastId: string | undefined;

  function noteIds(events: Buffer) {
    const text = events.toString('utf8');
    const startsWithId = text.startsWith(ID_FIELD);
    const last = text.lastIndexOf(ID_AFTER_LINE) + 1;
    if (last > 0 || startsWithId) lastId = readId(text, last);
    if (firstId !== undefined) return;
    const first = startsWithId ? 0 : text.indexOf(ID_AFTER_LINE) + 1;
    if (first > 0 || startsWithId) firstId = readId(text, first);
  }

  return {
    push(chunk) {
      if (rest.length === 0 && isEventEnd(chunk)) {
        noteIds(chunk);
        return chunk;
      }
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

/** Whether the bytes end with the end of an event. */
function isEventEnd(bytes: Buffer): boolean {
  const {length} = bytes;
  return bytes[length - 1] === LINE_END && bytes[length - 2] === LINE_END;
}

/** Reads the id in the line that starts at `from` with `id:`. */
function readId(text: string, from: number): string {
  const valueAt = from + ID_FIELD.length;
  const start = text[valueAt] === ' ' ? valueAt + 1 : valueAt;
  return text.slice(start, text.indexOf('\n', start));
}

/** Finds whether a stream that is not split ends within an event. */
export interface EventEndFinder {
  push(chunk: Buffer): void;
  /** Whether the stream is empty or ends with the end of an event. */
  isAtEventEnd(): boolean;
}

export function createEventEndFinder(): EventEndFinder {
  let isEmpty = true;
  let previous = 0;
  let last = 0;

  return {
    push(chunk) {
      if (chunk.length === 0) return;
      isEmpty = false;
      previous = chunk.length > 1 ? chunk[chunk.length - 2] : last;
      last = chunk[chunk.length - 1];
    },
    isAtEventEnd: () => isEmpty || (previous === LINE_END && last === LINE_END),
  };
}
