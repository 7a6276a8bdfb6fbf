/** Header names that callers and upstreams use, under the names of this project. */
import { HOP_BY_HOP_HEADERS } from "../core/hop_by_hop_headers.ts";

/** Names of headers, in lower case. The platform's adapter supplies them. */
export type HeaderNames = {
  /** Id of one attempt of a caller. */
  readonly requestId: string;
  /** Time that is left, in whole ms. */
  readonly deadlineMs: string;
  /** Signature of the upstream over its answer. */
  readonly seal: string;
  /** Upstream that alone may run the request. */
  readonly targetUpstream: string;
  /** Running, waiting and slots of the upstream, separated by commas. */
  readonly load: string;
  /** States that the upstream did not run the request. */
  readonly notRun: string;
  /** Pool of the instance where the request began. */
  readonly callerPool: string;
  /** Id of the upstream that answers a health check. */
  readonly upstreamId: string;
};

const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  "content-length",
]);

/**
 * Copies headers without those that concern one connection or are listed.
 *
 * @param rawHeaders Names and values in turn.
 * @param dropped Further names to leave out, in lower case.
 * @returns Names and values in turn.
 */
export function copyEndToEndHeaders(
  rawHeaders: readonly string[],
  dropped: readonly string[],
): string[] {
  const kept: string[] = [];
  let connectionOptions: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase();
    if (name === "connection") {
      connectionOptions = (rawHeaders[index + 1] as string).toLowerCase().split(
        /\s*,\s*/,
      );
    }
    if (!DROPPED_HEADERS.has(name) && !dropped.includes(name)) {
      kept.push(rawHeaders[index] as string, rawHeaders[index + 1] as string);
    }
  }
  return connectionOptions.length === 0
    ? kept
    : withoutNames(kept, connectionOptions);
}

function withoutNames(headers: string[], names: readonly string[]): string[] {
  return headers.filter((_, index) =>
    !names.includes((headers[index & ~1] as string).toLowerCase())
  );
}
