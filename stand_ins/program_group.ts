/** Child processes of the demo and of benchmarks, which are stopped together. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface, type Interface } from "node:readline";
import { fileURLToPath } from "node:url";

const DIST_FOLDER = new URL("../", import.meta.url);
const STOP_TIMEOUT_MS = 5_000;

/** A started program that printed its ready line. */
export type StartedProgram = {
  readonly pid: number;
  /** The ready line, parsed. */
  readonly ready: unknown;
  /** Writes a message as a JSON line to standard input and reads one answer line. */
  ask(message: unknown): Promise<unknown>;
  /** Sends a signal. */
  signal(name: NodeJS.Signals): void;
  /** Resolves with the exit code; null after a signal. */
  readonly exited: Promise<number | null>;
};

async function readLine(lines: Interface, exited: Promise<unknown>) {
  const ended = exited.then((code) => {
    throw new Error(`A program ended with exit code ${code}`);
  });
  const [line] = await Promise.race([once(lines, "line"), ended]);
  return JSON.parse(line as string) as unknown;
}

/**
 * Starts compiled programs and stops all of them together.
 *
 * @example
 * const programs = new ProgramGroup();
 * try {
 *   await programs.start("stand_ins/platform.js", []);
 * } finally {
 *   await programs.stop();
 * }
 */
export class ProgramGroup {
  readonly #children: ChildProcess[] = [];

  /**
   * Starts a program and waits for its ready line.
   *
   * @param program Path below `dist`.
   * @param args Arguments.
   * @param options `quiet` discards its standard error.
   * @returns The running program.
   * @throws {Error} When the program ends before it is ready.
   */
  async start(
    program: string,
    args: readonly string[],
    { quiet = false }: { quiet?: boolean } = {},
  ): Promise<StartedProgram> {
    const path = fileURLToPath(new URL(program, DIST_FOLDER));
    const child = spawn(process.execPath, [path, ...args], {
      stdio: ["pipe", "pipe", quiet ? "ignore" : "inherit"],
    });
    this.#children.push(child);
    const exited = once(child, "exit").then(([code]) => code as number | null);
    child.stdin.on("error", () => {});
    const lines = createInterface({ input: child.stdout });
    const ready = await readLine(lines, exited);
    return {
      pid: child.pid as number,
      ready,
      ask: (message) => {
        const answer = readLine(lines, exited);
        child.stdin.write(`${JSON.stringify(message)}\n`);
        return answer;
      },
      signal: (name) => child.kill(name),
      exited,
    };
  }

  /**
   * Runs a program to its end.
   *
   * @param program Path below `dist`.
   * @param args Arguments.
   * @returns Exit code; null after a signal.
   */
  async run(program: string, args: readonly string[]): Promise<number | null> {
    const path = fileURLToPath(new URL(program, DIST_FOLDER));
    const child = spawn(process.execPath, [path, ...args], {
      stdio: ["ignore", "ignore", "inherit"],
    });
    this.#children.push(child);
    const [code] = await once(child, "exit");
    return code as number | null;
  }

  /** Stops all programs with SIGTERM, or with SIGKILL after 5 s, and waits for their end. */
  async stop(): Promise<void> {
    await Promise.all(this.#children.map(stopChild));
  }
}

async function stopChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return;
  }
  const exited = once(child, "exit");
  const killTimer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
  child.kill("SIGTERM");
  await exited;
  clearTimeout(killTimer);
}
