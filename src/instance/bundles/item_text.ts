/**
 * The text of one item as it comes in, over as many runs as it takes. A run
 * that takes up the stream goes on after the last whole event; half an event
 * that was cut off is dropped, and a run that starts at the wrong event is
 * broken off before anything of it is kept.
 */
import {createParser} from 'eventsource-parser';
import type {EventSourceMessage} from 'eventsource-parser';

/** What is at hand of an item's text. */
export interface ItemText {
  /** Id of the last whole event. */
  lastId: string | undefined;
  /** Data of the whole events. */
  pieces: string[];
}

/** Takes in the bytes of one run. */
export interface ItemTextReader {
  /** Throws when the events do not go on after those at hand. */
  push(chunk: Buffer): void;
  /** Whether the run stopped in the middle of an event. */
  hasRest(): boolean;
}

/** Nothing yet. */
export function createItemText(): ItemText {
  return {lastId: undefined, pieces: []};
}

/** Adds the events of one run to `text`. */
export function createItemTextReader(text: ItemText): ItemTextReader {
  let rest = '';
  const decoder = new TextDecoder();

  function handleEvent({id, data}: EventSourceMessage) {
    checkNext(text.lastId, id);
    text.lastId = id ?? text.lastId;
    text.pieces.push(data);
  }

  const parser = createParser({onEvent: handleEvent});
  return {
    push(chunk) {
      const decoded = decoder.decode(chunk, {stream: true});
      rest = (rest + decoded).slice(-2);
      parser.feed(decoded);
    },
    hasRest: () => rest !== '' && !rest.endsWith('\n\n'),
  };
}

/** Ids are whole numbers that grow by one. */
function checkNext(lastId: string | undefined, id: string | undefined) {
  if (id === undefined) throw new Error('an event has no id');
  if (lastId === undefined) return;
  if (Number(id) !== Number(lastId) + 1) {
    throw new Error(`event ${id} follows event ${lastId}`);
  }
}
