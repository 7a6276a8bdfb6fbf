/** Base of all commands: output, errors and the platform client. */
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
// A tool that waits for a person pauses less than a daemon does.
const PLATFORM_BACKOFF_MAX_MS = 4_000;

/** A fault that ends a command with one line. */
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
 * Parses a duration that an option states in seconds.
 *
 * @param text Value of the option.
 * @param option Name of the option, for the message.
 * @returns Duration in ms.
 * @throws {CommandError} With exit code 2 unless it is a positive number.
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

/** Describes an error for people and for scripts. */
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
 * A command of the tool. Subclasses implement {@link RelayCommand.run}.
 *
 * @example
 * class Show extends RelayCommand {
 *   async run() { this.print({ a: 1 }, ["a is 1"]); return EXIT_CODES.applied; }
 * }
 */
export abstract class RelayCommand extends Command {
  json = Option.Boolean("--json", false, {
    description: "Print one JSON document instead of text",
  });

  /**
   * Runs the command.
   *
   * @returns Exit code.
   */
  abstract run(): Promise<ExitCode>;

  /** Runs the command and prints errors, one line per mistake. */
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
   * Prints a result.
   *
   * @param value Value for `--json`.
   * @param lines Lines of text otherwise.
   */
  protected print(value: unknown, lines: readonly string[]): void {
    if (this.json) {
      this.#printJson(value);
      return;
    }
    lines.forEach((line) => this.context.stdout.write(`${line}\n`));
  }

  /**
   * Prints a line of progress, which is not part of the result.
   *
   * @param line Line of text.
   */
  protected progress(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  #printJson(value: unknown): void {
    this.context.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
  }
}

/** A command that calls the platform. */
export abstract class PlatformCommand extends RelayCommand {
  platformUrl = Option.String("--platform", {
    env: "GOLDCRESTRELAY_PLATFORM",
    description: "URL of the platform's object API",
  });

  /**
   * Runs an action with a client that is closed afterwards.
   *
   * @param action Receives the client.
   * @returns Result of the action.
   * @throws {CommandError} Without a URL.
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
