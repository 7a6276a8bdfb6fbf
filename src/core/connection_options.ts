/** Names of the headers that apply to one connection only. */

const NO_OPTIONS: ReadonlySet<string> = new Set();

/** Usual values, which name no header. */
const USUAL_VALUE = /^(?:close|keep-alive)$/i;

/**
 * Parses the value of a `Connection` header.
 *
 * The time is proportional to the length of the value, which a caller chooses. A
 * pattern such as `\s*,\s*` takes quadratic time for a long run of spaces.
 *
 * @param value Value of the header, if the message has it.
 * @returns Names of the listed headers, in lower case.
 *
 * @example
 * parseConnectionOptions("Keep-Alive, X-Trace"); // Set { "keep-alive", "x-trace" }
 */
export function parseConnectionOptions(
  value: string | undefined,
): ReadonlySet<string> {
  if (value === undefined || USUAL_VALUE.test(value)) {
    return NO_OPTIONS;
  }
  return new Set(
    value.toLowerCase().split(",").map((option) => option.trim()),
  );
}
