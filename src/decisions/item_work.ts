/**
 * How long a batch item still takes on an endpoint, learned from items that
 * ran.
 *
 * Pattern of load: items that were stopped for questions and go on where they
 * were. Reckoned by what whole items take, one that is nearly done looks too
 * late to be saved, and goes behind others that are.
 */
import {AVERAGE_GAIN, MIN_PIECES_FOR_RATE} from './scheduler_constants.js';

/** What was learned of items. */
export interface ItemWork {
  /** A run brought `pieces` more of an item's answer in `ranMs`. */
  noteRun(pieces: number, ranMs: number): void;
  /** An item's whole answer has so many pieces. */
  noteWhole(pieces: number): void;
  /** Rest of an item of which `pieces` are at hand; undefined: not known. */
  estimateRest(pieces: number): number | undefined;
}

/** Starts knowing nothing. */
export function createItemWork(): ItemWork {
  let pieceMs: number | undefined;
  let wholePieces: number | undefined;

  const average = (held: number | undefined, seen: number) =>
    held === undefined ? seen : held + AVERAGE_GAIN * (seen - held);

  return {
    noteRun(pieces, ranMs) {
      if (pieces < MIN_PIECES_FOR_RATE) return;
      pieceMs = average(pieceMs, ranMs / pieces);
    },
    noteWhole(pieces) {
      wholePieces = average(wholePieces, pieces);
    },
    estimateRest(pieces) {
      if (pieceMs === undefined || wholePieces === undefined) return undefined;
      return Math.max(0, wholePieces - pieces) * pieceMs;
    },
  };
}
