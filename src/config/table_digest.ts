/** Digest of a pair of tables. */
import { createHash } from "node:crypto";
import type { TableEntry } from "../schemas/config_schema.ts";
import type { TableEntries } from "./table_entries.ts";

/** Digest of each entry object; it stays valid, since entries are never mutated. */
const entryDigests = new WeakMap<TableEntry, string>();

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/**
 * Encodes a value so that equal values have equal encodings: JSON with sorted
 * keys, without white space and without undefined fields.
 *
 * @param value Value of a table.
 * @returns Canonical JSON.
 *
 * @example
 * canonicalJson({ b: 1, a: [2] }); // '{"a":[2],"b":1}'
 */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) => {
    if (item === null || typeof item !== "object" || Array.isArray(item)) {
      return item;
    }
    return Object.fromEntries(
      Object.entries(item).sort(([a], [b]) => (a < b ? -1 : 1)),
    );
  });
}

function entryDigest(entry: TableEntry): string {
  const cached = entryDigests.get(entry);
  if (cached !== undefined) {
    return cached;
  }
  const digest = sha256(canonicalJson(entry.value));
  entryDigests.set(entry, digest);
  return digest;
}

/**
 * Computes the digest of a pair of tables: SHA-256 over the sorted lines
 * `KEY DIGEST` of all entries. The digests of unchanged entries are cached, so
 * that a small change to large tables does not encode the tables again.
 *
 * @param entries Entries by key.
 * @returns Digest, 64 hex digits.
 */
export function digestEntries(entries: TableEntries): string {
  const lines: string[] = [];
  for (const [key, entry] of entries) {
    lines.push(`${key} ${entryDigest(entry)}`);
  }
  return sha256(lines.sort().join("\n"));
}
