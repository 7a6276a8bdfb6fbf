/** Reads and conditionally writes the stored tables. */
import { setTimeout as delay } from "node:timers/promises";
import { v7 as makeUuid } from "uuid";
import { TABLES_KIND } from "../config/config_objects.ts";
import { type PlatformClient, PlatformError } from "../core/platform_client.ts";
import {
  type StoredTable,
  storedTableSchema,
  type TableName,
} from "../schemas/config_schema.ts";
import {
  type EditOutcome,
  judgeReadBack,
  makeEdit,
  type TableBase,
} from "./table_edit.ts";

/** Result of an edit. */
export type EditResult = {
  readonly table: TableName;
  readonly editId: string;
  readonly outcome: EditOutcome;
  /** Version that holds the edit; a later one when others followed. */
  readonly version?: number;
  /** Table that is stored instead, after a conflict. */
  readonly winner?: TableBase;
};

/** Options of {@link TableWriter}. */
export type TableWriterOptions = {
  /** Times that the table is read back before the outcome is unknown. */
  readBacksMaxCount?: number;
  /** Pause between them, in ms. */
  readBackPauseMs?: number;
};

const READ_BACKS_MAX_COUNT = 10;
const READ_BACK_PAUSE_MS = 1_000;

/**
 * Writes tables by edit ids, so that a lost answer is resolved by reading the
 * table back.
 *
 * @example
 * const writer = new TableWriter(client);
 * const base = await writer.read("routes");
 * const result = await writer.write("routes", base, text);
 */
export class TableWriter {
  readonly #platform: PlatformClient;
  readonly #options: Required<TableWriterOptions>;

  /**
   * @param platform Object API.
   * @param options Bounds of the read-back.
   */
  constructor(platform: PlatformClient, options: TableWriterOptions = {}) {
    this.#platform = platform;
    this.#options = {
      readBacksMaxCount: READ_BACKS_MAX_COUNT,
      readBackPauseMs: READ_BACK_PAUSE_MS,
      ...options,
    };
  }

  /**
   * Reads a stored table.
   *
   * @param table Name of the table.
   * @returns Table with version; undefined when it does not exist.
   * @throws {PlatformError} When the platform fails.
   */
  async read(table: TableName): Promise<TableBase> {
    const object = await this.#platform.get(TABLES_KIND, table);
    return object && {
      version: object.version,
      value: storedTableSchema.parse(object.value),
    };
  }

  /**
   * Writes a table on the version that was read.
   *
   * @param table Name of the table.
   * @param base Table that was read.
   * @param text New text.
   * @returns Whether the edit was applied.
   * @throws {PlatformError} When the write was certainly not sent.
   */
  async write(
    table: TableName,
    base: TableBase,
    text: string,
  ): Promise<EditResult> {
    const editId = makeUuid();
    const value = makeEdit(base, text, editId);
    try {
      return await this.#put(table, base, value);
    } catch (error) {
      if (error instanceof PlatformError && error.outcome === "unknown") {
        return await this.#readBack(table, base, editId);
      }
      throw error;
    }
  }

  async #put(
    table: TableName,
    base: TableBase,
    value: StoredTable,
  ): Promise<EditResult> {
    const result = await this.#platform.put(
      { kind: TABLES_KIND, name: table, value },
      { expectedVersion: base?.version ?? "absent" },
    );
    const { editId } = value;
    if (result.kind === "written") {
      const { version } = result;
      return { table, editId, outcome: "applied", version };
    }
    const winner = await this.read(table);
    return { table, editId, outcome: "not-applied", winner };
  }

  async #readBack(
    table: TableName,
    base: TableBase,
    editId: string,
  ): Promise<EditResult> {
    const { readBacksMaxCount, readBackPauseMs } = this.#options;
    for (let attempt = 0; attempt < readBacksMaxCount; attempt++) {
      try {
        const current = await this.read(table);
        const outcome = judgeReadBack(editId, base, current);
        const applied = outcome === "applied" && current !== undefined;
        const version = applied ? { version: current.version } : {};
        return { table, editId, outcome, ...version, winner: current };
      } catch {
        await delay(readBackPauseMs);
      }
    }
    return { table, editId, outcome: "unknown" };
  }
}
