/** Runs stand-ins and daemons as processes of a test. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import type { TestContext } from "node:test";
import { fileURLToPath } from "node:url";

const DIST_FOLDER = new URL("../../", import.meta.url);

/** A process that printed its ready line. */
export type RunningProgram<R> = {
  readonly child: ChildProcess;
  /** The ready line, parsed. */
  readonly ready: R;
  /** Sends one JSON line to its standard input. */
  send(message: unknown): void;
  /** Sends a signal. */
  signal(name: NodeJS.Signals): void;
  /** Resolves with the exit code; null after a signal. */
  readonly exited: Promise<number | null>;
};

/**
 * Starts a compiled program and waits for its ready line. The process is
 * killed when the test ends.
 *
 * @param t Test that owns the process.
 * @param program Path below `dist`, for example `stand_ins/upstream.js`.
 * @param options Settings, passed as JSON in the first argument.
 * @returns The running process.
 * @throws When the process ends before it is ready.
 */
export async function runProgram<R>(
  t: TestContext,
  program: string,
  { settings }: { settings: unknown },
): Promise<RunningProgram<R>> {
  const path = fileURLToPath(new URL(program, DIST_FOLDER));
  const child = spawn(process.execPath, [path, JSON.stringify(settings)], {
    stdio: ["pipe", "pipe", "inherit"],
  });
  const exited = once(child, "exit").then(([code]) => code as number | null);
  child.stdin.on("error", () => {});
  t.after(async () => {
    child.kill("SIGKILL");
    await exited;
  });
  const lines = createInterface({ input: child.stdout });
  const ready = await Promise.race([
    once(lines, "line").then(([line]) => JSON.parse(line as string) as R),
    exited.then((code) => {
      throw new Error(`${program} ended with exit code ${code}`);
    }),
  ]);
  return {
    child,
    ready,
    send: (message) => child.stdin.write(`${JSON.stringify(message)}\n`),
    signal: (name) => child.kill(name),
    exited,
  };
}
