/** `apply`: replaces one or both tables with the contents of files. */
import { readFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import type { TableTexts } from "../config/pair_checker.ts";
import { CommandError } from "./base_command.ts";
import { EXIT_CODES, EXIT_CODES_HELP } from "./exit_codes.ts";
import { type PlannedEdit, TableEditCommand } from "./table_edit_command.ts";

/**
 * Reads a file given on the command line.
 *
 * @param path Path of the file.
 * @returns Content of the file, decoded as UTF-8.
 * @throws {CommandError} With exit code 2 when the file cannot be read.
 */
export async function readInputFile(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    const reason = code === "ENOENT" ? "File does not exist" : `${error}`;
    throw new CommandError(EXIT_CODES.badInput, `${path}: ${reason}`);
  }
}

/** Takes the new texts from the files of `--routes` and `--pools`. */
export class ApplyCommand extends TableEditCommand {
  static override paths = [["apply"]];
  static override usage = Command.Usage({
    description: "Validate files and write them as the stored tables",
    details: `
      Shows the difference, then writes each table that differs, conditionally
      on the version that was read.
      ${EXIT_CODES_HELP}`,
    examples: [[
      "Replace both tables and wait",
      "goldcrestrelay apply --routes routes.jsonc --pools pools.jsonc --wait --daemon http://10.0.0.7:9400",
    ]],
  });

  routes = Option.String("--routes", { description: "File of the routes" });
  pools = Option.String("--pools", { description: "File of the pools" });

  /** @inheritdoc */
  override async plan(before: TableTexts): Promise<PlannedEdit> {
    const { routes, pools } = this;
    if (routes === undefined && pools === undefined) {
      const message = "Nothing to apply: give --routes, --pools or both";
      throw new CommandError(EXIT_CODES.badInput, message);
    }
    return {
      texts: {
        routes: routes ? await readInputFile(routes) : before.routes,
        pools: pools ? await readInputFile(pools) : before.pools,
      },
      sources: {
        routes: routes ?? "tables/routes",
        pools: pools ?? "tables/pools",
      },
    };
  }
}
