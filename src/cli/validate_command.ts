/** `validate`: checks files of tables, settings and charts without the platform. */
import { Command, Option } from "clipanion";
import { parse } from "jsonc-parser";
import type { z } from "zod";
import { chartSchema } from "../schemas/chart_schema.ts";
import type { TableName } from "../schemas/config_schema.ts";
import { parseJsonc } from "../schemas/parse_jsonc.ts";
import { settingsSchema } from "../schemas/settings_schema.ts";
import {
  poolsTableSchema,
  routesTableSchema,
} from "../schemas/tables_schema.ts";
import { InputError, type InputMistake } from "../errors/input_error.ts";
import { readInputFile } from "./apply_command.ts";
import { BaseCommand } from "./base_command.ts";
import { requireValidPair } from "./edit_plan.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";

type FileKind = TableName | "settings" | "chart";
type InputFile = { path: string; text: string; kind: FileKind };

const SCHEMAS: Record<FileKind, z.ZodType> = {
  routes: routesTableSchema,
  pools: poolsTableSchema,
  settings: settingsSchema,
  chart: chartSchema,
};

/** Root fields by which the kind of a file is detected; the first match decides. */
const KIND_FIELDS: [string, FileKind][] = [
  ["listeners", "settings"],
  ["states", "chart"],
  ["pools", "pools"],
  ["routes", "routes"],
];

/**
 * Detects the kind of a file from its root fields.
 *
 * @param text JSON with comments.
 * @returns Kind; undefined when no root field is known.
 *
 * @example
 * detectKind('{"pools": {}}'); // "pools"
 */
export function detectKind(text: string): FileKind | undefined {
  const root: unknown = parse(text, [], { allowTrailingComma: true });
  const fields = Object.keys(root ?? {});
  return KIND_FIELDS.find(([field]) => fields.includes(field))?.[1];
}

function listMistakes(check: () => void): readonly InputMistake[] {
  try {
    check();
    return [];
  } catch (error) {
    if (error instanceof InputError) {
      return error.mistakes;
    }
    throw error;
  }
}

function checkFile({ path, text, kind }: InputFile): readonly InputMistake[] {
  return listMistakes(() => {
    parseJsonc(text, SCHEMAS[kind], { source: path });
  });
}

/** Checks routes and pools as a pair when there is exactly one file of each. */
function checkSinglePair(files: InputFile[]): readonly InputMistake[] {
  const [routes, ...otherRoutes] = files.filter(({ kind }) =>
    kind === "routes"
  );
  const [pools, ...otherPools] = files.filter(({ kind }) => kind === "pools");
  const isSinglePair = otherRoutes.length + otherPools.length === 0;
  if (routes === undefined || pools === undefined || !isSinglePair) {
    return [];
  }
  return listMistakes(() =>
    requireValidPair(
      { routes: routes.text, pools: pools.text },
      { routes: routes.path, pools: pools.path },
    )
  );
}

/** Checks files and prints the kind of each, or all mistakes. */
export class ValidateCommand extends BaseCommand {
  static override paths = [["validate"]];
  static override usage = Command.Usage({
    description: "Check files of tables, settings and charts",
    details: `
      The kind of each file is told from its fields. One file of routes and one
      of pools are also checked as a pair.

      Exit codes: 0 valid, 2 bad input with one line per mistake.
    `,
    examples: [[
      "Check a pair of tables",
      "goldcrestrelay validate routes.jsonc pools.jsonc",
    ]],
  });

  files = Option.Rest({ required: 1, name: "FILE" });

  /** @inheritdoc */
  override async run(): Promise<ExitCode> {
    const files = await Promise.all(
      this.files.map((path) => this.#readFile(path)),
    );
    const mistakes = files.flatMap(checkFile);
    const allMistakes = mistakes.length > 0 ? mistakes : checkSinglePair(files);
    if (allMistakes.length > 0) {
      throw new InputError(allMistakes);
    }
    this.print(
      { valid: true, files: files.map(({ path, kind }) => ({ path, kind })) },
      files.map(({ path, kind }) => `${path}: valid ${kind}`),
    );
    return EXIT_CODES.applied;
  }

  async #readFile(path: string): Promise<InputFile> {
    const text = await readInputFile(path);
    const kind = detectKind(text);
    if (kind === undefined) {
      // Throws on a syntax error or an unknown root field, so that the mistake is
      // reported with its position.
      parseJsonc(text, routesTableSchema.partial(), { source: path });
      const message = "Is neither a table, settings nor a chart";
      throw new InputError([
        { source: path, line: 1, column: 1, path: "", message },
      ]);
    }
    return { path, text, kind };
  }
}
