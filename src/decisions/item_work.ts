/**
 * Estimates the remaining run time of a batch item on an endpoint, learned from
 * items that ran.
 *
 * Load pattern: items that were stopped for online requests and resume where
 * they were. Estimated by the run time of a complete item, an item that is
 * nearly done seems too late to be in time, and goes behind items that are not.
 *
 * The estimate is the number of pieces that a mean item still lacks, multiplied
 * by the mean time per piece.
 */
import {AVERAGE_GAIN, MIN_PIECES_FOR_RATE} from './scheduler_constants.js';

/** Learned size and speed of items. */
export interface ItemWork {
  /** Records a run that received `pieces` of an item's answer in `ranMs`. */
  noteRun(pieces: number, ranMs: number): void;
  /** Records the number of pieces of a complete answer. */
  noteComplete(pieces: number): void;
  /**
   * Remaining time of an item with `pieces` received, in ms; undefined if
   * unknown.
   */
  estimateRemaining(pieces: number): number | undefined;
  /**
   * Factor on the usual time per piece beyond which pauses exceed `targetMs`;
   * undefined if the target or the time per piece is unknown.
   */
  estimateMaxFactor(targetMs: number | undefined): number | undefined;
}

/** Creates an estimator without observations. */
export function createItemWork(): ItemWork {
  let pieceMs: number | undefined;
  let completePieces: number | undefined;

  const average = (held: number | undefined, seen: number) =>
    held === undefined ? seen : held + AVERAGE_GAIN * (seen - held);

  return {
    noteRun(pieces, ranMs) {
      if (pieces < MIN_PIECES_FOR_RATE) return;
      pieceMs = average(pieceMs, ranMs / pieces);
    },
    noteComplete(pieces) {
      completePieces = average(completePieces, pieces);
    },
    estimateRemaining(pieces) {
      if (pieceMs === undefined || completePieces === undefined)
        return undefined;
      return Math.max(0, completePieces - pieces) * pieceMs;
    },
    estimateMaxFactor(targetMs) {
      if (targetMs === undefined || pieceMs === undefined) return undefined;
      return targetMs / pieceMs;
    },
  };
}
