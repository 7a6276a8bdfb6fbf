/** Base classes of the commands, with output, error handling and platform access. */
import { Command, Option } from "clipanion";
import { SystemClock } from "../core/clock.ts";
import { PlatformError } from "../core/platform_client.ts";
import { SeededRandom } from "../core/random.ts";
import { InputError } from "../errors/input_error.ts";
import { HttpPlatformClient } from "../platform/http_platform_client.ts";
import { DaemonError } from "./daemon_client.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";

const MS_PER_S = 1_000;
const PLATFORM_TIMEOUT_MS = 5_000;
const PLATFORM_CALLS_PER_S_MAX = 20;
// Shorter than the 30 s of a daemon's back-off, because an operator waits for the
// result.
const PLATFORM_BACKOFF_MAX_MS = 4_000;

/** Ends a command with a one-line message and an exit code. */
export class CommandError extends Error {
  readonly exitCode: ExitCode;

  /**
   * @param exitCode Exit code of the tool.
   * @param message Sentence without a final period.
   */
  constructor(exitCode: ExitCode, message: string) {
    super(message);
    this.name = "CommandError";
    this.exitCode = exitCode;
  }
}

/**
 * Parses an option that takes a duration in seconds.
 *
 * @param text Value of the option.
 * @param option Name of the option, for the message.
 * @returns Duration in ms.
 * @throws {CommandError} With exit code 2 when it is not a positive number.
 *
 * @example
 * parseSeconds("1.5", "--interval"); // 1500
 */
export function parseSeconds(text: string, option: string): number {
  const durationMs = Number(text) * MS_PER_S;
  if (!(durationMs > 0)) {
    const message = `${option}: Must be a positive number of seconds`;
    throw new CommandError(EXIT_CODES.badInput, message);
  }
  return durationMs;
}

/** Returns exit code and messages of an expected error; rethrows other errors. */
function describeError(
  error: unknown,
): { exitCode: ExitCode; lines: string[] } {
  if (error instanceof InputError) {
    return { exitCode: EXIT_CODES.badInput, lines: error.message.split("\n") };
  }
  if (error instanceof CommandError) {
    return { exitCode: error.exitCode, lines: [error.message] };
  }
  if (error instanceof PlatformError || error instanceof DaemonError) {
    return { exitCode: EXIT_CODES.error, lines: [error.message] };
  }
  throw error;
}

/**
 * Base class of all commands. Subclasses implement {@link BaseCommand.run}.
 *
 * @example
 * class Show extends BaseCommand {
 *   async run() { this.print({ a: 1 }, ["a is 1"]); return EXIT_CODES.applied; }
 * }
 */
export abstract class BaseCommand extends Command {
  json = Option.Boolean("--json", false, {
    description: "Print one JSON document instead of text",
  });

  /**
   * Runs the command.
   *
   * @returns Exit code.
   */
  abstract run(): Promise<ExitCode>;

  /**
   * Calls {@link run}. Prints errors on the standard error, one line per mistake,
   * and with `--json` also as a JSON document on the standard output.
   */
  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      const { exitCode, lines } = describeError(error);
      if (this.json) {
        this.#printJson({ error: lines.join("\n"), exitCode });
      }
      lines.forEach((line) => this.context.stderr.write(`${line}\n`));
      return exitCode;
    }
  }

  /**
   * Prints the result on the standard output.
   *
   * @param value Value that is printed with `--json`.
   * @param lines Lines of text that are printed without it.
   */
  protected print(value: unknown, lines: readonly string[]): void {
    if (this.json) {
      this.#printJson(value);
      return;
    }
    lines.forEach((line) => this.context.stdout.write(`${line}\n`));
  }

  /**
   * Prints a line on the standard error, which keeps the standard output for the
   * result.
   *
   * @param line Line of text.
   */
  protected printProgress(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  #printJson(value: unknown): void {
    this.context.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
  }
}

/** A command that calls the platform. */
export abstract class PlatformCommand extends BaseCommand {
  platformUrl = Option.String("--platform", {
    env: "GOLDCRESTRELAY_PLATFORM",
    description: "URL of the platform's object API",
  });

  /**
   * Calls a function with a platform client and closes the client afterwards.
   *
   * @param action Function that receives the client.
   * @returns Result of the action.
   * @throws {CommandError} With exit code 2 when the platform's URL is missing.
   */
  protected async withPlatform<T>(
    action: (platform: HttpPlatformClient) => Promise<T>,
  ): Promise<T> {
    if (this.platformUrl === undefined) {
      throw new CommandError(
        EXIT_CODES.badInput,
        "The platform's URL is missing: give --platform or GOLDCRESTRELAY_PLATFORM",
      );
    }
    const clock = new SystemClock();
    const platform = new HttpPlatformClient({
      url: this.platformUrl.replace(/\/$/, ""),
      timeoutMs: PLATFORM_TIMEOUT_MS,
      callsPerSMax: PLATFORM_CALLS_PER_S_MAX,
      backoffMaxMs: PLATFORM_BACKOFF_MAX_MS,
      clock,
      random: new SeededRandom(clock.wallMs()),
    });
    try {
      return await action(platform);
    } finally {
      await platform.close();
    }
  }
}
