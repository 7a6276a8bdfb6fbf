/** Validation errors of files that operators write. */
import VError from "verror";

/** One mistake and its position. */
export type InputMistake = {
  /** File or table name. */
  readonly source: string;
  /** Line, from 1; undefined when the position is not known. */
  readonly line?: number;
  /** Column, from 1. */
  readonly column?: number;
  /** Path of the field, for example `routes.enrol.pool`. */
  readonly path: string;
  /** Description of the mistake, without a final period. */
  readonly message: string;
};

/**
 * Formats a mistake as one line.
 *
 * @param mistake Mistake with position.
 * @returns `source:line:column: path: message`.
 *
 * @example
 * formatMistake({ source: "d.jsonc", line: 3, column: 5, path: "a", message: "Unknown field" });
 */
export function formatMistake(mistake: InputMistake): string {
  const position = mistake.line === undefined
    ? ""
    : `:${mistake.line}:${mistake.column ?? 1}`;
  const path = mistake.path === "" ? "" : `${mistake.path}: `;
  return `${mistake.source}${position}: ${path}${mistake.message}`;
}

/**
 * Invalid input. The daemon and the command-line tool print every mistake and
 * exit with code 2.
 */
export class InputError extends VError {
  readonly mistakes: readonly InputMistake[];

  /**
   * @param mistakes All mistakes in the input, at least one.
   */
  constructor(mistakes: readonly InputMistake[]) {
    super(
      { name: "InputError" },
      "%s",
      mistakes.map(formatMistake).join("\n"),
    );
    this.mistakes = mistakes;
  }
}
