/** Removes hop-by-hop and internal headers. */
import { parseConnectionOptions } from "../core/connection_options.ts";
import { HOP_BY_HOP_HEADERS } from "../core/hop_by_hop_headers.ts";

const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  "host",
]);

const INTERNAL_PREFIX = "goldcrest-";

/**
 * Copies headers without `Host`, hop-by-hop headers, headers that `Connection`
 * names, and internal headers (`Goldcrest-*`).
 *
 * @param rawHeaders Alternating names and values.
 * @param connection Value of the `Connection` header.
 * @returns Alternating names and values.
 *
 * @example
 * filterHeaders(["Accept", "x/y", "Goldcrest-Hop", "1"], undefined); // ["Accept", "x/y"]
 */
export function filterHeaders(
  rawHeaders: readonly string[],
  connection: string | undefined,
): string[] {
  const connectionOptions = parseConnectionOptions(connection);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const lowerName = name.toLowerCase();
    if (
      DROPPED_HEADERS.has(lowerName) ||
      lowerName.startsWith(INTERNAL_PREFIX) ||
      connectionOptions.has(lowerName)
    ) {
      continue;
    }
    kept.push(name, rawHeaders[index + 1] as string);
  }
  return kept;
}
