/**
 * Which status a final HTTP response may have (RFC 9110, section 15).
 *
 * Failure: a broken endpoint sends a head whose status is noise, such as 999, or
 * switches to a protocol that nobody asked for. Parsers accept it, and it reaches
 * the caller as an answer.
 */

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** Whether a response with this status answers its request. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}
