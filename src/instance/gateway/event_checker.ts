/**
 * Checks that bytes are an event stream, and counts its complete events.
 *
 * Failure: an endpoint sends noise in place of events, or one event without end. Passed
 * on, it reaches the caller as a part of the response; collected, it grows until the end
 * of the run.
 */
import {MAX_EVENT_BYTES, MAX_FIELD_NAME_BYTES} from './constants.js';

/** Checks one stream. */
export interface EventChecker {
  /** Throws if the bytes cannot go on an event stream. */
  push(bytes: Buffer): void;
  /** Number of complete events, without those that consist of comments. */
  countEvents(): number;
}

const LINE_END = 0x0a;
const RETURN = 0x0d;
const COLON = 0x3a;

/** Fields that may stand without a value. */
const BARE_FIELDS = new Set(['', 'data', 'event', 'id', 'retry']);

export function createEventChecker(): EventChecker {
  let events = 0;
  let eventBytes = 0;
  /** Name of the field as far as it was received; undefined within its value. */
  let name: string | undefined = '';
  let hasField = false;

  function endLine() {
    if (name !== undefined && !BARE_FIELDS.has(name)) throw buildNoise(name);
    if (name === '') {
      if (hasField) events++;
      hasField = false;
      eventBytes = 0;
    } else if (name !== undefined) hasField = true;
    name = '';
  }

  /** Reads a byte of a name; names consist of letters and hyphens. */
  function pushNameByte(byte: number) {
    if (byte === LINE_END) endLine();
    else if (byte === COLON) {
      hasField ||= name !== '';
      name = undefined;
    } else if (byte !== RETURN) {
      name += String.fromCharCode(byte);
      const isName = isNameByte(byte) && name!.length <= MAX_FIELD_NAME_BYTES;
      if (!isName) throw buildNoise(name!);
    }
  }

  return {
    push(bytes) {
      eventBytes += bytes.length;
      for (let at = 0; at < bytes.length; at++) {
        if (name !== undefined) {
          pushNameByte(bytes[at]);
          // An event has ended here; the rest of the bytes belongs to the next one.
          if (name === '' && eventBytes === 0)
            eventBytes = bytes.length - at - 1;
          continue;
        }
        at = bytes.indexOf(LINE_END, at);
        if (at < 0) break;
        name = '';
      }
      if (eventBytes > MAX_EVENT_BYTES) {
        throw new Error(`an event has more than ${MAX_EVENT_BYTES} bytes`);
      }
    },
    countEvents: () => events,
  };
}

function isNameByte(byte: number): boolean {
  const lower = byte | 0x20;
  return (lower >= 0x61 && lower <= 0x7a) || byte === 0x2d;
}

function buildNoise(name: string): Error {
  const shown = JSON.stringify(name.slice(0, MAX_FIELD_NAME_BYTES));
  return new Error(`a line of the event stream begins with ${shown}`);
}
