/** Exit codes of the commands; docs/OPERATIONS.md lists them. */
export const EXIT_CODES = {
  /** The input is invalid, or the platform gave no answer. */
  failure: 1,
  /** The command line is wrong. */
  usage: 2,
  /** Another operator was faster. */
  conflict: 3,
  /** Done, but not every instance has confirmed it. */
  unconfirmed: 4,
} as const;
