#!/usr/bin/env node
/** The program `goldcrestrelayd`. */
import process from "node:process";
import { Builtins, Cli, Command, Option } from "clipanion";
import { checkCharts, inputErrorText } from "./check_charts.ts";
import { readSettings } from "./read_settings.ts";

const EXIT_INTERNAL = 70;
const EXIT_USAGE = 2;

async function run(settingsFile: string): Promise<number> {
  checkCharts();
  const settings = readSettings(settingsFile);
  // Loading `run_daemon.ts` binds the charts to their classes and fails on an
  // unknown guard or action. It is imported dynamically so that `execute` reports
  // this error.
  const { runDaemon } = await import("./run_daemon.ts");
  return await runDaemon(settings, settingsFile);
}

/** Runs one daemon. */
class RunCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Runs one goldcrestrelay daemon beside an upstream instance",
    details: `
      Reads SETTINGS_FILE (JSON with comments), binds all listeners and writes
      one JSON line with the bound addresses to stdout. Logs go to stderr.

      SIGTERM drains: new work is refused, accepted work continues. A second
      SIGTERM or the end of \`drainLimitMs\` stops at once. SIGHUP re-reads the
      peer keys.

      Exit codes: 0 after a clean drain, 1 when work was cut, 2 on bad input,
      70 on an internal error.
    `,
    examples: [["Run a daemon", "$0 daemon.jsonc"]],
  });

  settingsFile = Option.String({ name: "SETTINGS_FILE" });

  /** @inheritdoc */
  async execute(): Promise<number> {
    try {
      return await run(this.settingsFile);
    } catch (error) {
      const mistakes = inputErrorText(error);
      process.stderr.write(`${mistakes ?? (error as Error).stack}\n`);
      return mistakes === undefined ? EXIT_INTERNAL : EXIT_USAGE;
    }
  }
}

function createCli(): Cli {
  const cli = new Cli({
    binaryLabel: "goldcrestrelay daemon",
    binaryName: "goldcrestrelayd",
    enableColors: process.stdout.isTTY === true,
  });
  cli.register(RunCommand);
  cli.register(Builtins.HelpCommand);
  return cli;
}

async function main(args: string[]): Promise<number> {
  const cli = createCli();
  try {
    const command = cli.process(args, Cli.defaultContext);
    return await cli.run(command, Cli.defaultContext);
  } catch (error) {
    process.stderr.write(cli.error(error));
    return EXIT_USAGE;
  }
}

process.exit(await main(process.argv.slice(2)));
