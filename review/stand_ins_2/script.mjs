/** Frame of a script: record, temporary folder and end of all processes. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** Exit codes; `run.sh` translates them. Node.js itself exits with 1. */
const BROKEN = 10;
const NOT_RUN = 2;
const LONGEST_MS = 110_000;

/** Waits. */
export function pause(durationMs) {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/**
 * Runs a script and ends the process: with 10 if the rule was broken, 0 if it held,
 * and 2 if the case could not run.
 *
 * @param caseUrl URL of the script, beside which `record.txt` is written.
 * @param run Runs the case; returns a list of the breaks of the rule.
 */
export async function runScript(caseUrl, run) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const lines = [];
  const startedAtMs = Date.now();
  const record = (text) =>
    lines.push(`${String(Date.now() - startedAtMs).padStart(6)} ms  ${text}`);
  const parts = [];
  let code = NOT_RUN;
  const timer = setTimeout(() => finish(NOT_RUN, "took too long"), LONGEST_MS);
  async function finish(exitCode, text) {
    clearTimeout(timer);
    record(text);
    for (const part of parts) {
      await (part.stop?.() ?? part.close?.());
    }
    rmSync(folder, { recursive: true, force: true });
    const file = fileURLToPath(new URL("record.txt", caseUrl));
    writeFileSync(file, `${lines.join("\n")}\n`);
    console.log(lines.at(-1));
    process.exit(exitCode);
  }
  let text;
  try {
    const breaks = await run({
      folder,
      record,
      /** Stops or closes a part at the end of the script. */
      use: (part) => {
        parts.unshift(part);
        return part;
      },
      isTroubled: process.env.TROUBLE !== "0",
    });
    breaks.forEach((line) => record(`BROKEN: ${line}`));
    code = breaks.length > 0 ? BROKEN : 0;
    text = code === BROKEN
      ? `the rule was broken ${breaks.length} times`
      : "the rule held";
  } catch (error) {
    text = `the case could not run: ${error.stack}`;
  }
  await finish(code, text);
}
