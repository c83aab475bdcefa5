/** Exit codes of the commands; docs/OPERATIONS.md lists them. */
export const EXIT_CODES = {
  /** The input is invalid, or the platform did not respond. */
  failure: 1,
  /** The command line is wrong. */
  usage: 2,
  /** Another operator changed the document first. */
  conflict: 3,
  /** The change is stored, but not every instance has confirmed it. */
  unconfirmed: 4,
} as const;
