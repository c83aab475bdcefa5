/** Builds the lines of an output, one for each item. */
import type {ErrorCode} from '../../common/errors.js';
import type {Verdict} from '../../common/verdict.js';

/** The final line of one item. */
export interface ItemLine {
  text: string;
  /** Whether the item got a response with status 200. */
  succeeded: boolean;
}

/** Why an item has no response. */
export interface ItemError {
  code: ErrorCode;
  message: string;
  verdict: Verdict;
}

/** Builds the line of an item that got a response from an endpoint. */
export function buildAnswerLine(
  customId: string,
  requestId: string,
  status: number,
  body: unknown,
): ItemLine {
  const response = {status_code: status, request_id: requestId, body};
  const line = {id: requestId, custom_id: customId, response, error: null};
  return {text: JSON.stringify(line), succeeded: status === 200};
}

/** Builds the line of an item that ended without a response. */
export function buildErrorLine(
  customId: string,
  requestId: string,
  error: ItemError,
): ItemLine {
  const line = {id: requestId, custom_id: customId, response: null, error};
  return {text: JSON.stringify(line), succeeded: false};
}
