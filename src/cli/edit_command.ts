/** Base of the commands that edit tables. */
import process from "node:process";
import { Option } from "clipanion";
import type { TableTexts } from "../config/pair_checker.ts";
import type { PlatformClient } from "../core/platform_client.ts";
import type { TableName, TableVersions } from "../schemas/config_schema.ts";
import {
  baseTexts,
  diffTexts,
  orderWrites,
  requireStorable,
  requireValidPair,
  type TableBases,
  type TableSources,
} from "./edit_plan.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import {
  describeInForce,
  type RolloutState,
  waitForRollout,
} from "./wait_for_rollout.ts";
import { parseSeconds, PlatformCommand } from "./relay_command.ts";
import type { EditOutcome } from "./table_edit.ts";
import { type EditResult, TableWriter } from "./table_writer.ts";

const WAIT_TIMEOUT_S_DEFAULT = "30";

const EXIT_BY_OUTCOME: Record<EditOutcome, ExitCode> = {
  applied: EXIT_CODES.applied,
  "not-applied": EXIT_CODES.notApplied,
  unknown: EXIT_CODES.unknown,
};

/** A planned edit. */
export type PlannedEdit = {
  readonly texts: TableTexts;
  readonly sources: TableSources;
};

type Report = {
  edits: Omit<EditResult, "winner">[];
  diffs: string[];
  inForce?: RolloutState;
};

/** A command that edits one or both tables by conditional updates. */
export abstract class EditCommand extends PlatformCommand {
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
   * Computes the edit.
   *
   * @param before Texts of the stored tables.
   * @returns New texts with the names of their sources.
   * @throws {InputError} On a mistake in the input.
   */
  abstract plan(before: TableTexts): Promise<PlannedEdit>;

  /** @inheritdoc */
  override run(): Promise<ExitCode> {
    return this.withPlatform((platform) => this.#edit(platform));
  }

  async #edit(platform: PlatformClient): Promise<ExitCode> {
    this.#waitTimeoutMs = parseSeconds(this.waitTimeoutS, "--wait-timeout");
    const writer = new TableWriter(platform);
    const bases: TableBases = {
      routes: await writer.read("routes"),
      pools: await writer.read("pools"),
    };
    const before = baseTexts(bases);
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
      this.#report({ edits: [], diffs });
      return EXIT_CODES.applied;
    }
    return await this.#write(writer, { bases, texts, tables, diffs, platform });
  }

  async #write(
    writer: TableWriter,
    edit: {
      bases: TableBases;
      texts: TableTexts;
      tables: TableName[];
      diffs: string[];
      platform: PlatformClient;
    },
  ): Promise<ExitCode> {
    const results: EditResult[] = [];
    for (const table of edit.tables) {
      const base = edit.bases[table];
      const result = await writer.write(table, base, edit.texts[table]);
      results.push(result);
      if (result.outcome !== "applied") {
        this.#explainLoss(result, base?.value.text ?? "");
        break;
      }
    }
    const outcome = results.at(-1)?.outcome ?? "applied";
    const edits = results.map(({ winner: _winner, ...rest }) => rest);
    const inForce = this.wait && outcome === "applied"
      ? await this.#await(edit.platform, edit.bases, results)
      : undefined;
    this.#report({ edits, diffs: edit.diffs, ...(inForce && { inForce }) });
    return inForce === undefined
      ? EXIT_BY_OUTCOME[outcome]
      : this.#forceExitCode(inForce);
  }

  #explainLoss({ table, outcome, winner }: EditResult, base: string): void {
    if (outcome === "not-applied" && winner && winner.value.text !== base) {
      this.progress(`Another edit of ${table} came first:`);
      this.progress(diffTexts(table, base, winner.value.text));
    }
  }

  async #await(
    platform: PlatformClient,
    bases: TableBases,
    results: EditResult[],
  ): Promise<RolloutState> {
    const versionOf = (table: TableName) =>
      results.find((result) => result.table === table)?.version ??
        bases[table]?.version ?? 1;
    const versions: TableVersions = {
      routes: versionOf("routes"),
      pools: versionOf("pools"),
    };
    const listed = process.env.GOLDCRESTRELAY_DAEMONS?.split(",") ?? [];
    return await waitForRollout(platform, versions, {
      daemonUrls: this.daemons ?? listed,
      timeoutMs: this.#waitTimeoutMs,
      progress: (line) => this.progress(line),
    });
  }

  #forceExitCode(state: RolloutState): ExitCode {
    if (state.kind === "timeout") {
      state.lagging.forEach((line) => this.progress(`Lags: ${line}`));
      return EXIT_CODES.timeout;
    }
    if (state.kind === "refused") {
      for (const { table, entry, field, reason } of state.mistakes) {
        this.progress(`Refused: ${table}: ${entry} ${field}: ${reason}`);
      }
      return EXIT_CODES.notApplied;
    }
    return EXIT_CODES.applied;
  }

  #report(report: Report): void {
    const edits = report.edits.map(({ table, editId, outcome, version }) =>
      `${table}: ${outcome}, edit ${editId}` +
      (version === undefined ? "" : `, version ${version}`)
    );
    const force = report.inForce?.kind === "in-force"
      ? describeInForce(report.inForce)
      : [];
    const lines = [...edits, ...force];
    this.print(report, lines.length > 0 ? lines : ["Nothing was written"]);
  }
}
