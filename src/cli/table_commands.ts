/** `show`, `edit` and `set` of the tables `routes` and `pools`. */
import { Command, Option } from "clipanion";
import { parse } from "jsonc-parser";
import type { TableTexts } from "../config/pair_checker.ts";
import { InputError } from "../errors/input_error.ts";
import type { TableName } from "../schemas/config_schema.ts";
import { readInputFile } from "./apply_command.ts";
import { PlatformCommand } from "./base_command.ts";
import { textsOf } from "./edit_plan.ts";
import {
  entryPath,
  parseAssignment,
  readEntry,
  setValue,
} from "./entry_edit.ts";
import { EXIT_CODES, EXIT_CODES_HELP, type ExitCode } from "./exit_codes.ts";
import { TableClient } from "./table_client.ts";
import { type PlannedEdit, TableEditCommand } from "./table_edit_command.ts";

/** Names of the stored tables in messages. */
const STORED_TABLE_NAMES = {
  routes: "tables/routes",
  pools: "tables/pools",
} as const;
const NAME_HELP =
  "NAME is an entry, SECTION.NAME (tenants, branches) or rules.";

/** Returns the table that the first word of a command names. */
function tableOf(command: Command): TableName {
  return command.path[0] === "pools" ? "pools" : "routes";
}

/** Commands `routes show` and `pools show`. */
export class ShowCommand extends PlatformCommand {
  static override paths = [["routes", "show"], ["pools", "show"]];
  static override usage = Command.Usage({
    description: "Print a stored table or one of its entries",
    details: NAME_HELP,
  });

  entry = Option.String({ required: false, name: "NAME" });

  /** @inheritdoc */
  override run(): Promise<ExitCode> {
    return this.withPlatform(async (platform) => {
      const table = tableOf(this);
      const stored = await new TableClient(platform).read(table);
      // Only the text of `table` is used.
      const text = textsOf({ routes: stored, pools: stored })[table];
      const value = this.entry === undefined
        ? parse(text, [], { allowTrailingComma: true })
        : readEntry(text, entryPath(table, this.entry));
      const shown = this.entry === undefined
        ? text.trimEnd()
        : JSON.stringify(value, undefined, 2);
      const { version = 0 } = stored ?? {};
      this.print({ table, version, value }, [shown]);
      return EXIT_CODES.applied;
    });
  }
}

/** Commands `routes edit` and `pools edit`. */
export class EditFieldsCommand extends TableEditCommand {
  static override paths = [["routes", "edit"], ["pools", "edit"]];
  static override usage = Command.Usage({
    description: "Change fields of one entry",
    details: `
      ${NAME_HELP} Each assignment is FIELD=VALUE with VALUE as JSON or plain
      text; an empty VALUE removes the field.
      ${EXIT_CODES_HELP}`,
    examples: [[
      "Give a route another class",
      "goldcrestrelay routes edit browse-logs class=standard timeoutMs=15000",
    ]],
  });

  entry = Option.String({ name: "NAME" });
  assignments = Option.Rest({ required: 1, name: "FIELD=VALUE" });

  /** @inheritdoc */
  override async plan(before: TableTexts): Promise<PlannedEdit> {
    const table = tableOf(this);
    const path = entryPath(table, this.entry);
    // Throws when the entry does not exist.
    readEntry(before[table], path);
    const text = this.assignments.map(parseAssignment).reduce(
      (result, field) =>
        setValue(result, [...path, ...field.path], field.value),
      before[table],
    );
    return { texts: { ...before, [table]: text }, sources: STORED_TABLE_NAMES };
  }
}

/** Commands `routes set` and `pools set`. */
export class SetEntryCommand extends TableEditCommand {
  static override paths = [["routes", "set"], ["pools", "set"]];
  static override usage = Command.Usage({
    description: "Create, replace or remove one entry",
    details: `
      ${NAME_HELP} VALUE is the entry as JSON, or @FILE.
      ${EXIT_CODES_HELP}`,
    examples: [
      [
        "Replace a pool by a file",
        "goldcrestrelay pools set logbook @logbook.jsonc",
      ],
      ["Remove a route", "goldcrestrelay routes set browse-logs --remove"],
    ],
  });

  entry = Option.String({ name: "NAME" });
  value = Option.String({ required: false, name: "VALUE" });
  remove = Option.Boolean("--remove", false, {
    description: "Remove the entry",
  });

  /** @inheritdoc */
  override async plan(before: TableTexts): Promise<PlannedEdit> {
    const table = tableOf(this);
    const path = entryPath(table, this.entry);
    if (this.remove) {
      // Throws when the entry does not exist.
      readEntry(before[table], path);
    }
    const value = this.remove ? undefined : await this.#readValue();
    const text = setValue(before[table], path, value);
    return { texts: { ...before, [table]: text }, sources: STORED_TABLE_NAMES };
  }

  async #readValue(): Promise<unknown> {
    const argument = this.value ?? "";
    const text = argument.startsWith("@")
      ? await readInputFile(argument.slice(1))
      : argument;
    const errors: Parameters<typeof parse>[1] = [];
    const value = parse(text, errors, { allowTrailingComma: true });
    if (value === undefined || errors?.length) {
      const message = "VALUE must be the entry as JSON";
      throw new InputError([{
        source: "arguments",
        path: this.entry,
        message,
      }]);
    }
    return value;
  }
}
