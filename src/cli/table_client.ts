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
  createStoredTable,
  determineOutcome,
  type EditOutcome,
  type VersionedTable,
} from "./table_edit.ts";

/** Result of the edit of one table. */
export type EditResult = {
  readonly table: TableName;
  readonly editId: string;
  readonly outcome: EditOutcome;
  /** Version that was written, or a later one that was read after a lost answer. */
  readonly version?: number;
  /** Table that was read after a conflict or a lost answer. */
  readonly current?: VersionedTable | undefined;
};

/** Options of {@link TableClient}. */
export type TableClientOptions = {
  /** Maximum attempts to read the table back after a lost answer. */
  readBacksMaxCount?: number;
  /** Pause between these attempts, in ms. */
  readBackPauseMs?: number;
};

const READ_BACKS_MAX_COUNT = 10;
const READ_BACK_PAUSE_MS = 1_000;

/**
 * Reads and writes the stored tables. Each write has a unique edit id. When the
 * answer to a write is lost, the table is read back: its recent edit ids show
 * whether the edit was applied.
 *
 * @example
 * const client = new TableClient(platform);
 * const base = await client.read("routes");
 * const result = await client.write("routes", base, text);
 */
export class TableClient {
  readonly #platform: PlatformClient;
  readonly #options: Required<TableClientOptions>;

  /**
   * @param platform Object API.
   * @param options Number of attempts to read a table back, and their interval.
   */
  constructor(platform: PlatformClient, options: TableClientOptions = {}) {
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
  async read(table: TableName): Promise<VersionedTable | undefined> {
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
   * @throws {PlatformError} When the write failed and certainly had no effect.
   */
  async write(
    table: TableName,
    base: VersionedTable | undefined,
    text: string,
  ): Promise<EditResult> {
    const editId = makeUuid();
    const value = createStoredTable(base, text, editId);
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
    base: VersionedTable | undefined,
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
    base: VersionedTable | undefined,
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
