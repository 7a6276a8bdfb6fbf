/** Parses the command line and runs one command. */
import type { Writable } from "node:stream";
import { Builtins, Cli, type Command, type CommandClass } from "clipanion";
import { ApplyCommand } from "./apply_command.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const COMMANDS: CommandClass[] = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ApplyCommand,
];

/** Streams of the tool. */
export type CliStreams = { stdout: Writable; stderr: Writable };

/**
 * Runs the tool.
 *
 * @param args Arguments without the program's name.
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
  });
  const context = { ...Cli.defaultContext, ...streams };
  let command: Command;
  try {
    command = cli.process(args, context);
  } catch (error) {
    streams.stderr.write(`${cli.error(error, { colored: false })}\n`);
    return EXIT_CODES.badInput;
  }
  return await cli.run(command, context);
}
