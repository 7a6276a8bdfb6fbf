/** `status`, `top`, `drain` and `undrain`: commands that call daemons. */
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { Command, Option } from "clipanion";
import { BaseCommand, CommandError, parseSeconds } from "./base_command.ts";
import {
  listDaemonUrls,
  postDrain,
  readMetrics,
  readStatuses,
  type StatusResult,
} from "./daemon_client.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { describeStatus, describeTop } from "./status_text.ts";

const CLEAR_SCREEN = "\x1b[2J\x1b[H";

/** A command that calls one or more daemons. */
abstract class DaemonCommand extends BaseCommand {
  daemons = Option.Array("--daemon", {
    description:
      "Operator listener, repeatable; default GOLDCRESTRELAY_DAEMONS, comma-separated",
  });

  /** Lists the operator listeners from `--daemon` or the environment. */
  protected listUrls(): string[] {
    const defaultUrls = process.env.GOLDCRESTRELAY_DAEMONS?.split(",") ?? [];
    const urls = (this.daemons ?? defaultUrls).filter((url) => url !== "");
    if (urls.length === 0) {
      const message = "No daemon: give --daemon or GOLDCRESTRELAY_DAEMONS";
      throw new CommandError(EXIT_CODES.badInput, message);
    }
    return urls;
  }
}

/** Reads the status of daemons and, with `members`, of the members they list. */
async function readAllStatuses(
  urls: string[],
  members: boolean,
): Promise<StatusResult[]> {
  const results = await readStatuses(urls);
  if (!members) {
    return results;
  }
  const others = listDaemonUrls(results).filter((url) => !urls.includes(url));
  return [...results, ...await readStatuses(others, { members: "none" })];
}

function exitCodeOf(results: StatusResult[]): ExitCode {
  const failed = results.some(({ error }) => error !== undefined);
  return failed ? EXIT_CODES.error : EXIT_CODES.applied;
}

/** Prints the status of daemons once. */
export class StatusCommand extends DaemonCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Print the status of daemons",
    details: "Exit codes: 0 all answered, 1 a daemon did not, 2 bad input.",
    examples: [[
      "Ask one daemon and its members",
      "goldcrestrelay status --daemon http://10.0.0.7:9084 --members",
    ]],
  });

  members = Option.Boolean("--members", false, {
    description: "Ask the members that the daemons name too",
  });

  /** @inheritdoc */
  override async run(): Promise<ExitCode> {
    const results = await readAllStatuses(this.listUrls(), this.members);
    this.print({ daemons: results }, results.flatMap(describeStatus));
    return exitCodeOf(results);
  }
}

/** Prints a table of daemons repeatedly, or their metrics once. */
export class TopCommand extends DaemonCommand {
  static override paths = [["top"]];
  static override usage = Command.Usage({
    description: "Show load and shedding of daemons, refreshed",
    details: "Exit codes: 0 all answered the last time, 1 a daemon did not.",
  });

  intervalS = Option.String("--interval", "2", {
    description: "Seconds between refreshes",
  });
  once = Option.Boolean("--once", false, { description: "Print once and end" });
  members = Option.Boolean("--members", false, {
    description: "Show the members that the daemons name too",
  });
  metrics = Option.Boolean("--metrics", false, {
    description: "Print the metrics of the daemons once instead",
  });

  /** @inheritdoc */
  override async run(): Promise<ExitCode> {
    if (this.metrics) {
      return await this.#printMetrics();
    }
    const intervalMs = parseSeconds(this.intervalS, "--interval");
    let previous: StatusResult[] = [];
    while (true) {
      const results = await readAllStatuses(this.listUrls(), this.members);
      if (!this.json && !this.once) {
        this.context.stdout.write(CLEAR_SCREEN);
      }
      const lines = describeTop(results, { previous, intervalMs });
      this.print({ daemons: results }, lines);
      if (this.once) {
        return exitCodeOf(results);
      }
      previous = results;
      await delay(intervalMs);
    }
  }

  async #printMetrics(): Promise<ExitCode> {
    const urls = this.listUrls();
    const texts = await Promise.all(urls.map(readMetrics));
    const metrics = urls.map((url, index) => ({ url, text: texts[index] }));
    this.print({ metrics }, texts);
    return EXIT_CODES.applied;
  }
}

/** Requests a drain, or its cancellation, of one daemon after the other. */
export class DrainCommand extends DaemonCommand {
  static override paths = [["drain"], ["undrain"]];
  static override usage = Command.Usage({
    description: "Start or cancel the drain of daemons",
    details: "Exit codes: 0 requested, 1 a daemon did not answer, 2 bad input.",
  });

  /** @inheritdoc */
  override async run(): Promise<ExitCode> {
    const action = this.path[0] === "undrain" ? "undrain" : "drain";
    const urls = this.listUrls();
    for (const url of urls) {
      await postDrain(url, action);
    }
    const requested = urls.map((url) => ({ url, action }));
    this.print({ requested }, urls.map((url) => `${url}: ${action} requested`));
    return EXIT_CODES.applied;
  }
}
