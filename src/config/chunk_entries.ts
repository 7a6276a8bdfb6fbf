/** Splits entries into chunks of bounded size. */
import type { TableEntry } from "../schemas/config_schema.ts";
import type { TableEntries } from "./table_entries.ts";

/**
 * Splits entries in their order. An entry above the bound gets its own chunk.
 *
 * @param entries Entries by key.
 * @param chunkMaxBytes Bound of the encoded size of a chunk's entries and the
 * commas between them, in bytes.
 * @returns At least one chunk.
 *
 * @example
 * for (const chunk of chunkEntries(entries, 131_072)) { ... }
 */
export function chunkEntries(
  entries: TableEntries,
  chunkMaxBytes: number,
): TableEntry[][] {
  const chunks: TableEntry[][] = [];
  let chunk: TableEntry[] = [];
  let sizeBytes = 0;
  for (const entry of entries.values()) {
    // One byte for the comma between entries.
    const entryBytes = Buffer.byteLength(JSON.stringify(entry)) + 1;
    if (chunk.length > 0 && sizeBytes + entryBytes > chunkMaxBytes) {
      chunks.push(chunk);
      chunk = [];
      sizeBytes = 0;
    }
    chunk.push(entry);
    sizeBytes += entryBytes;
  }
  return [...chunks, chunk];
}
