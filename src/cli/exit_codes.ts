/** Exit codes of the command-line tool `goldcrestrelay`. */

/** Exit codes of all commands, by name. */
export const EXIT_CODES = {
  /** Success; all edits were applied, if there were any. */
  applied: 0,
  /**
   * The platform or a daemon failed, or nothing matches the arguments. A write
   * that failed had no effect.
   */
  error: 1,
  /** Mistakes in the arguments or files; one line is printed for each. */
  badInput: 2,
  /** A write had no effect, as after a conflict, or the acceptor refused the edit. */
  notApplied: 3,
  /**
   * A write may have had an effect: its answer was lost, and reading the table
   * back failed or was inconclusive.
   */
  unknown: 4,
  /** The configuration was not in force in all daemons before the timeout. */
  timeout: 5,
} as const;

/** One of {@link EXIT_CODES}. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];

/** Part of the help of the commands that write tables: their exit codes. */
export const EXIT_CODES_HELP = `
  Exit codes: 0 applied, 1 error before any write, 2 bad input, 3 not applied
  (conflict or refused), 4 unknown whether it was applied, 5 timeout while
  waiting for the configuration to be in force.
`;
