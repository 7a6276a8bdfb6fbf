/** Frame of a script: record, temporary folder and end of all processes. */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Exit codes; `run.sh` translates them. Node.js itself exits with 1. */
const BROKEN = 10;
const HELD = 0;
const NOT_RUN = 2;
const LONGEST_MS = 110_000;

/** Waits. */
export function pause(durationMs) {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/**
 * Runs a script and stops all its parts.
 *
 * @param run Runs the case; returns a list of the breaks of the rule.
 * @returns Text of the record, and the exit code: 10 if the rule was broken, 0 if
 *   it held, and 2 if the case could not run.
 */
export async function runScript(run) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const lines = [];
  const startedAtMs = Date.now();
  const record = (text) =>
    lines.push(`${String(Date.now() - startedAtMs).padStart(6)} ms  ${text}`);
  const parts = [];
  /** Stops or closes a part at the end of the script. */
  const use = (part) => {
    parts.unshift(part);
    return part;
  };
  let exitCode = NOT_RUN;
  try {
    const breaks = await Promise.race([
      run({ folder, record, use }),
      pause(LONGEST_MS).then(() => {
        throw new Error("The script took too long");
      }),
    ]);
    breaks.forEach((line) => record(`BROKEN: ${line}`));
    exitCode = breaks.length > 0 ? BROKEN : HELD;
    record(
      breaks.length > 0
        ? `the rule was broken ${breaks.length} times`
        : "the rule held",
    );
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
  }
  for (const part of parts) {
    await (part.stop?.() ?? part.close?.());
  }
  rmSync(folder, { recursive: true, force: true });
  console.log(lines.at(-1));
  return { text: `${lines.join("\n")}\n`, exitCode };
}
