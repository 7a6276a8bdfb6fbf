/** Exit codes of the tool `goldcrestrelay`. */

/** Exit codes by meaning. */
export const EXIT_CODES = {
  /** Success; an edit was applied. */
  applied: 0,
  /** An error before any write. */
  error: 1,
  /** Bad input, with one line per mistake. */
  badInput: 2,
  /** The edit was not applied: conflict, or refused by the acceptor. */
  notApplied: 3,
  /** The edit may have been applied. */
  unknown: 4,
  /** The configuration was not in force everywhere in time. */
  timeout: 5,
} as const;

/** Exit code of the tool. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];

/** Text for the help of commands that write. */
export const EXIT_CODES_HELP = `
  Exit codes: 0 applied, 1 error before any write, 2 bad input, 3 not applied
  (conflict or refused), 4 unknown whether it was applied, 5 timeout while
  waiting for the configuration to be in force.
`;
