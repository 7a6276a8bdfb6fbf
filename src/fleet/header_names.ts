/** Names of the platform's headers, and the copying of headers to forward. */
import { parseConnectionOptions } from "../core/connection_options.ts";
import { HOP_BY_HOP_HEADERS } from "../core/hop_by_hop_headers.ts";

/** Header names in lower case, supplied by the adapter of the platform. */
export type HeaderNames = {
  /** Id that a caller gives to each request; a retry has a new one. */
  readonly requestId: string;
  /** Time until the deadline, in whole ms. */
  readonly deadlineMs: string;
  /** Signature of the upstream for its answer. */
  readonly answerSignature: string;
  /** Id of the only upstream that may run the request. */
  readonly targetUpstream: string;
  /**
   * Reported load of the upstream: the counts of its running requests, waiting
   * requests and slots, and optionally the present duration of work on its
   * machine as a percentage of the usual one, separated by commas.
   */
  readonly load: string;
  /** Present when the upstream did not run the request. */
  readonly notRun: string;
  /** Pool of the instance whose daemon received the request. */
  readonly callerPool: string;
  /** Requests a second that an upstream in overload takes from all daemons. */
  readonly rateLimit: string;
  /** `1` when the upstream leaves and wants no further requests. */
  readonly leaving: string;
  /** Id of the upstream that answers a health check. */
  readonly upstreamId: string;
  /** Name of the tenant on whose behalf the request is sent. */
  readonly tenant: string;
};

const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  "content-length",
]);

/**
 * Copies headers without the hop-by-hop headers, the headers that `connection`
 * lists, `content-length` and the given ones.
 *
 * @param rawHeaders Alternating names and values.
 * @param dropped Further names to omit, in lower case.
 * @returns Alternating names and values.
 */
export function copyEndToEndHeaders(
  rawHeaders: readonly string[],
  dropped: readonly string[],
): string[] {
  const kept: string[] = [];
  const connectionOptions = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase();
    if (name === "connection") {
      for (const option of parseConnectionOptions(rawHeaders[index + 1])) {
        connectionOptions.add(option);
      }
    }
    if (!DROPPED_HEADERS.has(name) && !dropped.includes(name)) {
      kept.push(rawHeaders[index] as string, rawHeaders[index + 1] as string);
    }
  }
  return connectionOptions.size === 0
    ? kept
    : withoutNames(kept, connectionOptions);
}

/** Removes the headers with the given names, and their values. */
function withoutNames(
  headers: string[],
  names: ReadonlySet<string>,
): string[] {
  return headers.filter((_, index) =>
    !names.has((headers[index & ~1] as string).toLowerCase())
  );
}

/**
 * Finds the value of a header.
 *
 * @param headers Alternating names and values.
 * @param name Name in lower case.
 * @returns Value of the first header with the name; undefined without one.
 */
export function findHeader(
  headers: readonly string[],
  name: string,
): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() === name) {
      return headers[index + 1];
    }
  }
  return undefined;
}
