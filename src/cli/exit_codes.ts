/** Exit codes of the command-line tool `goldcrestrelay`. */

/** Exit codes by meaning. */
export const EXIT_CODES = {
  /** Success; an edit was applied. */
  applied: 0,
  /** An error occurred before any write. */
  error: 1,
  /** Bad input, with one line per mistake. */
  badInput: 2,
  /** The edit was not applied: conflict, or refused by the acceptor. */
  notApplied: 3,
  /** The edit may have been applied. */
  unknown: 4,
  /** The configuration was not in force in all daemons before the timeout. */
  timeout: 5,
} as const;

/** One of {@link EXIT_CODES}. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];

/** Help text on the exit codes of commands that write. */
export const EXIT_CODES_HELP = `
  Exit codes: 0 applied, 1 error before any write, 2 bad input, 3 not applied
  (conflict or refused), 4 unknown whether it was applied, 5 timeout while
  waiting for the configuration to be in force.
`;
