/** Full copies of accepted configurations in the platform. */
import { hash32 } from "../core/hash.ts";
import type { PlatformClient, PutCondition } from "../core/platform_client.ts";
import {
  type AcceptedRecord,
  type ConfigHead,
  snapshotChunkSchema,
  type SnapshotLocation,
  type TableEntry,
} from "../schemas/config_schema.ts";
import { chunkEntries } from "./chunk_entries.ts";
import { digestEntries } from "./table_digest.ts";
import { indexEntries, type TableEntries } from "./table_entries.ts";

// Snapshots have a kind of their own, so that watches of `config` do not
// transfer them. They reuse a fixed number of slots, because the number of the
// platform's objects would otherwise grow with each of 15,000 changes a day.
const SNAPSHOT_KIND = "snapshots";
const SLOTS_COUNT = 64;
// Below the platform's limit of 1,048,576 bytes for a value.
const CHUNK_MAX_BYTES = 786_432;

/**
 * Chooses the slot of a snapshot. Two concurrent acceptors choose different
 * slots with high probability; the digest reveals a collision.
 *
 * @param writer Text that identifies the acceptor and the generation.
 * @param usedSlot Slot of the accepted snapshot, which is never overwritten.
 * @returns Slot, from 0.
 */
export function chooseSlot(writer: string, usedSlot?: number): number {
  const slot = hash32(writer) % SLOTS_COUNT;
  return slot === usedSlot ? (slot + 1) % SLOTS_COUNT : slot;
}

/**
 * Reads and writes snapshots.
 *
 * @example
 * const location = await snapshots.write(head, entries, chooseSlot("a 7"));
 */
export class SnapshotStore {
  readonly #platform: PlatformClient;
  /** Versions of chunks that this process wrote, to save a read. */
  readonly #versions = new Map<string, number>();

  /**
   * @param platform Object API.
   */
  constructor(platform: PlatformClient) {
    this.#platform = platform;
  }

  /**
   * Writes a snapshot in chunks.
   *
   * @param head Generation and digest.
   * @param entries Entries of both tables.
   * @param slot Slot that the accepted configuration does not use.
   * @returns Location of the snapshot.
   * @throws {PlatformError} When a write fails.
   */
  async write(
    head: ConfigHead,
    entries: TableEntries,
    slot: number,
  ): Promise<SnapshotLocation> {
    const chunks = chunkEntries(entries, CHUNK_MAX_BYTES);
    for (const [index, chunk] of chunks.entries()) {
      await this.#writeChunk(`${slot}-${index}`, { head, entries: chunk });
    }
    return { slot, chunksCount: chunks.length };
  }

  /**
   * Reads the snapshot of an accepted configuration.
   *
   * @param accepted Object `config/accepted`.
   * @returns Entries; undefined when the snapshot is missing or does not match
   * the digest.
   * @throws {PlatformError} When a read fails.
   */
  async read(accepted: AcceptedRecord): Promise<TableEntries | undefined> {
    const { slot, chunksCount } = accepted.snapshot;
    const entries: TableEntry[] = [];
    for (let index = 0; index < chunksCount; index++) {
      const object = await this.#platform.get(
        SNAPSHOT_KIND,
        `${slot}-${index}`,
      );
      const chunk = snapshotChunkSchema.safeParse(object?.value);
      if (!chunk.success) {
        return undefined;
      }
      entries.push(...chunk.data.entries);
    }
    const indexed = indexEntries(entries);
    return digestEntries(indexed) === accepted.head.digest
      ? indexed
      : undefined;
  }

  async #writeChunk(name: string, value: unknown): Promise<void> {
    const object = { kind: SNAPSHOT_KIND, name, value };
    const expectedVersion = this.#versions.get(name) ?? "absent";
    if (await this.#put(object, { expectedVersion })) {
      return;
    }
    const current = await this.#platform.get(SNAPSHOT_KIND, name);
    const condition = {
      expectedVersion: current?.version ?? "absent" as const,
    };
    if (!await this.#put(object, condition)) {
      throw new Error(`Another acceptor writes the snapshot "${name}"`);
    }
  }

  async #put(
    object: { kind: string; name: string; value: unknown },
    condition: PutCondition,
  ): Promise<boolean> {
    const result = await this.#platform.put(object, condition);
    if (result.kind === "conflict") {
      return false;
    }
    this.#versions.set(object.name, result.version);
    return true;
  }
}
