/** Parses the command line and runs one command. */
import type { Writable } from "node:stream";
import type { WriteStream } from "node:tty";
import { Builtins, Cli, type Command, type CommandClass } from "clipanion";
import { ApplyCommand } from "./apply_command.ts";
import { ChartsCommand } from "./charts_command.ts";
import { DrainCommand, StatusCommand, TopCommand } from "./daemon_commands.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { ExplainCommand } from "./explain_command.ts";
import {
  EditFieldsCommand,
  SetEntryCommand,
  ShowCommand,
} from "./table_commands.ts";
import { TraceCommand } from "./trace_command.ts";
import { ValidateCommand } from "./validate_command.ts";

const COMMANDS: CommandClass[] = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ApplyCommand,
  ChartsCommand,
  DrainCommand,
  EditFieldsCommand,
  ExplainCommand,
  SetEntryCommand,
  ShowCommand,
  StatusCommand,
  TopCommand,
  TraceCommand,
  ValidateCommand,
];

/** Streams that the tool writes to. */
export type CliStreams = { stdout: Writable; stderr: Writable };

/** Prints an error in the arguments as one line, and with `--json` as JSON too. */
function reportUsageError(
  { message }: Error,
  args: string[],
  { stdout, stderr }: CliStreams,
): number {
  const [reason = message] = message.split("\n");
  const line = `arguments: ${reason} See goldcrestrelay --help`;
  const exitCode = EXIT_CODES.badInput;
  if (args.includes("--json")) {
    stdout.write(`${JSON.stringify({ error: line, exitCode })}\n`);
  }
  stderr.write(`${line}\n`);
  return exitCode;
}

/**
 * Runs the command-line tool.
 *
 * @param args Arguments without the interpreter and the script.
 * @param streams Output and error streams.
 * @returns Exit code.
 *
 * @example
 * process.exitCode = await runCli(process.argv.slice(2), process);
 */
export async function runCli(
  args: string[],
  streams: CliStreams,
): Promise<number> {
  const cli = Cli.from(COMMANDS, {
    binaryLabel: "goldcrestrelay",
    binaryName: "goldcrestrelay",
    binaryVersion: "0.1.0",
    enableColors: (streams.stdout as WriteStream).isTTY === true,
  });
  const context = { ...Cli.defaultContext, ...streams };
  let command: Command;
  try {
    command = cli.process(args, context);
  } catch (error) {
    return reportUsageError(error as Error, args, streams);
  }
  return await cli.run(command, context);
}
