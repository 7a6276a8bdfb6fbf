/** Base class of `apply`, `edit` and `set`, which write the stored tables. */
import process from "node:process";
import { Option } from "clipanion";
import type { TableTexts } from "../config/pair_checker.ts";
import type { PlatformClient } from "../core/platform_client.ts";
import type { TableName, TableVersions } from "../schemas/config_schema.ts";
import { parseSeconds, PlatformCommand } from "./base_command.ts";
import {
  type BaseTables,
  diffTexts,
  orderWrites,
  requireStorable,
  requireValidPair,
  type TableSources,
  textsOf,
} from "./edit_plan.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { type EditResult, TableClient } from "./table_client.ts";
import type { EditOutcome } from "./table_edit.ts";
import {
  describeRollout,
  type RolloutState,
  waitForRollout,
} from "./wait_for_rollout.ts";

const WAIT_TIMEOUT_S_DEFAULT = "30";

const EXIT_CODE_BY_OUTCOME: Record<EditOutcome, ExitCode> = {
  applied: EXIT_CODES.applied,
  "not-applied": EXIT_CODES.notApplied,
  unknown: EXIT_CODES.unknown,
};

/** New texts of both tables, with the names of their sources for messages. */
export type PlannedEdit = {
  readonly texts: TableTexts;
  readonly sources: TableSources;
};

/** Result of an edit; `--json` prints it. */
type EditReport = {
  edits: Omit<EditResult, "current">[];
  diffs: string[];
  inForce?: RolloutState;
};

/**
 * Shows the difference between the stored and the new tables, and writes those
 * that differ by conditional writes. Subclasses implement
 * {@link TableEditCommand.plan}.
 */
export abstract class TableEditCommand extends PlatformCommand {
  wait = Option.Boolean("--wait", false, {
    description: "Wait until the daemons have the edit in force",
  });
  waitTimeoutS = Option.String("--wait-timeout", WAIT_TIMEOUT_S_DEFAULT, {
    description: "Longest wait in seconds",
  });
  daemons = Option.Array("--daemon", {
    description:
      "Operator listener of a daemon to wait for, repeatable; default GOLDCRESTRELAY_DAEMONS; members that name their listener are asked too",
  });
  dryRun = Option.Boolean("--dry-run", false, {
    description: "Validate and show the difference without writing",
  });

  #waitTimeoutMs = 0;

  /**
   * Computes the new texts of the tables.
   *
   * @param before Texts of the stored tables.
   * @returns New texts with the names of their sources.
   * @throws {InputError | CommandError} On a mistake in the arguments or files.
   */
  abstract plan(before: TableTexts): Promise<PlannedEdit>;

  /** @inheritdoc */
  override run(): Promise<ExitCode> {
    return this.withPlatform((platform) => this.#edit(platform));
  }

  async #edit(platform: PlatformClient): Promise<ExitCode> {
    this.#waitTimeoutMs = parseSeconds(this.waitTimeoutS, "--wait-timeout");
    const client = new TableClient(platform);
    const bases: BaseTables = {
      routes: await client.read("routes"),
      pools: await client.read("pools"),
    };
    const before = textsOf(bases);
    const { texts, sources } = await this.plan(before);
    requireValidPair(texts, sources);
    requireStorable(bases, texts, sources);
    const tables = orderWrites(before, texts);
    const diffs = tables.map((table) =>
      diffTexts(table, before[table], texts[table])
    );
    if (!this.json) {
      diffs.forEach((diff) => this.context.stdout.write(`${diff}\n`));
    }
    if (tables.length === 0 || this.dryRun) {
      this.#printReport({ edits: [], diffs });
      return EXIT_CODES.applied;
    }
    return await this.#write(client, { bases, texts, tables, diffs, platform });
  }

  async #write(
    client: TableClient,
    edit: {
      bases: BaseTables;
      texts: TableTexts;
      tables: TableName[];
      diffs: string[];
      platform: PlatformClient;
    },
  ): Promise<ExitCode> {
    const results: EditResult[] = [];
    for (const table of edit.tables) {
      const base = edit.bases[table];
      const result = await client.write(table, base, edit.texts[table]);
      results.push(result);
      if (result.outcome !== "applied") {
        this.#reportConflict(result, base?.value.text ?? "");
        break;
      }
    }
    const outcome = results.at(-1)?.outcome ?? "applied";
    const edits = results.map(({ current: _current, ...rest }) => rest);
    const inForce = this.wait && outcome === "applied"
      ? await this.#waitForRollout(edit.platform, edit.bases, results)
      : undefined;
    this.#printReport({
      edits,
      diffs: edit.diffs,
      ...(inForce && { inForce }),
    });
    return inForce === undefined
      ? EXIT_CODE_BY_OUTCOME[outcome]
      : this.#reportRollout(inForce);
  }

  /** If another edit was stored after the base was read, prints its diff. */
  #reportConflict(
    { table, outcome, current }: EditResult,
    base: string,
  ): void {
    if (outcome === "not-applied" && current && current.value.text !== base) {
      this.printProgress(`Another edit of ${table} came first:`);
      this.printProgress(diffTexts(table, base, current.value.text));
    }
  }

  async #waitForRollout(
    platform: PlatformClient,
    bases: BaseTables,
    results: EditResult[],
  ): Promise<RolloutState> {
    // A table that is neither stored nor edited has no version yet; 1 will be its
    // first one.
    const versionOf = (table: TableName) =>
      results.find((result) => result.table === table)?.version ??
        bases[table]?.version ?? 1;
    const versions: TableVersions = {
      routes: versionOf("routes"),
      pools: versionOf("pools"),
    };
    const defaultUrls = process.env.GOLDCRESTRELAY_DAEMONS?.split(",") ?? [];
    return await waitForRollout(platform, versions, {
      daemonUrls: this.daemons ?? defaultUrls,
      timeoutMs: this.#waitTimeoutMs,
      onProgress: (line) => this.printProgress(line),
    });
  }

  /**
   * Prints the daemons that lag or the mistakes that the acceptor found; returns
   * the exit code.
   */
  #reportRollout(state: RolloutState): ExitCode {
    if (state.kind === "timeout") {
      state.lagging.forEach((line) => this.printProgress(`Lags: ${line}`));
      return EXIT_CODES.timeout;
    }
    if (state.kind === "refused") {
      for (const { table, entry, field, reason } of state.mistakes) {
        this.printProgress(`Refused: ${table}: ${entry} ${field}: ${reason}`);
      }
      return EXIT_CODES.notApplied;
    }
    return EXIT_CODES.applied;
  }

  #printReport(report: EditReport): void {
    const edits = report.edits.map(({ table, editId, outcome, version }) =>
      `${table}: ${outcome}, edit ${editId}` +
      (version === undefined ? "" : `, version ${version}`)
    );
    const rollout = report.inForce?.kind === "in-force"
      ? describeRollout(report.inForce)
      : [];
    const lines = [...edits, ...rollout];
    this.print(report, lines.length > 0 ? lines : ["Nothing was written"]);
  }
}
