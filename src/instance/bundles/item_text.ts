/**
 * Collects the text of one item from the event streams of one or more runs. A
 * run that resumes the stream continues after the last complete event. A
 * partial event at the end of a run is dropped. A run that starts at the wrong
 * event is aborted before any of its events are added.
 *
 * Failure: a broken endpoint sends events without end. Collected, they exhaust the
 * memory of the instance, and the requests of all its callers end with it. No result
 * larger than MAX_ITEM_TEXT_BYTES could be read, so its text starts again elsewhere.
 */
import {createParser} from 'eventsource-parser';
import type {EventSourceMessage} from 'eventsource-parser';
import {createEventChecker} from '../gateway/event_checker.js';
import type {StreamStart} from '../streams/stream_start.js';
import {MAX_ITEM_TEXT_BYTES} from './constants.js';

/** The text of an item as far as it was received. */
export interface ItemText {
  /** Id of the last complete event. */
  lastId: string | undefined;
  /** Data of the complete events. */
  pieces: string[];
  /** Where the text began; absent as long as it has no events. */
  start?: StreamStart;
}

/** Reads the bytes of one run. */
export interface ItemTextReader {
  /**
   * Throws if the bytes are no events, or one does not follow the last by its id, and
   * clears the text if it is too large.
   */
  push(chunk: Buffer): void;
  countEvents(): number;
  /** Whether the bytes so far end within an event. */
  hasPartialEvent(): boolean;
}

export function createItemText(): ItemText {
  return {lastId: undefined, pieces: []};
}

/** Removes all events, so that the next run starts from the beginning. */
export function clearItemText(text: ItemText): void {
  text.lastId = undefined;
  text.pieces.length = 0;
  text.start = undefined;
}

/** Creates a reader that adds the events of one run to `text`. */
export function createItemTextReader(text: ItemText): ItemTextReader {
  let rest = '';
  let textBytes = countBytes(text);
  const decoder = new TextDecoder();

  function handleEvent({id, data}: EventSourceMessage) {
    checkNext(text.lastId, id);
    textBytes += Buffer.byteLength(data);
    if (textBytes > MAX_ITEM_TEXT_BYTES) {
      clearItemText(text);
      throw new Error(`a text has more than ${MAX_ITEM_TEXT_BYTES} bytes`);
    }
    text.lastId = id ?? text.lastId;
    text.pieces.push(data);
  }

  const parser = createParser({onEvent: handleEvent});
  const checker = createEventChecker();
  return {
    countEvents: checker.countEvents,
    push(chunk) {
      checker.push(chunk);
      const decoded = decoder.decode(chunk, {stream: true});
      rest = (rest + decoded).slice(-2);
      parser.feed(decoded);
    },
    hasPartialEvent: () => rest !== '' && !rest.endsWith('\n\n'),
  };
}

function countBytes({pieces}: ItemText): number {
  return pieces.reduce((sum, piece) => sum + Buffer.byteLength(piece), 0);
}

/** Event ids are integers that increase by one. */
function checkNext(lastId: string | undefined, id: string | undefined) {
  if (id === undefined) throw new Error('event has no id');
  if (lastId === undefined) return;
  if (Number(id) !== Number(lastId) + 1) {
    throw new Error(`event ${id} follows event ${lastId}`);
  }
}
