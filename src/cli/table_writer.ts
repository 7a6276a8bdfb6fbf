/** Reads the stored tables and writes them conditionally. */
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
  determineOutcome,
  type EditOutcome,
  makeEdit,
  type TableBase,
} from "./table_edit.ts";

/** Result of an edit. */
export type EditResult = {
  readonly table: TableName;
  readonly editId: string;
  readonly outcome: EditOutcome;
  /** Version that contains the edit; a later one if other edits followed. */
  readonly version?: number;
  /** Table that was read after a conflict or a lost answer. */
  readonly current?: TableBase;
};

/** Options of {@link TableWriter}. */
export type TableWriterOptions = {
  /** Largest number of attempts to read the table after a lost answer. */
  readBacksMaxCount?: number;
  /** Pause between these attempts, in ms. */
  readBackPauseMs?: number;
};

const READ_BACKS_MAX_COUNT = 10;
const READ_BACK_PAUSE_MS = 1_000;

/**
 * Writes tables with a unique id for each edit. When the answer to a write is
 * lost, the table is read back: its recent edit ids show whether the edit was
 * applied.
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
   * @param options Number of reads after a lost answer, and the pause between.
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
   * Writes a table if its version is still the one that was read.
   *
   * @param table Name of the table.
   * @param base Table that was read; undefined to create it.
   * @param text New text.
   * @returns Whether the edit was applied.
   * @throws {PlatformError} When the call failed and certainly had no effect.
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
    const current = await this.read(table);
    return { table, editId, outcome: "not-applied", current };
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
        const outcome = determineOutcome(editId, base, current);
        const applied = outcome === "applied" && current !== undefined;
        const version = applied ? { version: current.version } : {};
        return { table, editId, outcome, ...version, current };
      } catch {
        await delay(readBackPauseMs);
      }
    }
    return { table, editId, outcome: "unknown" };
  }
}
