/** What an upstream says of itself in the headers of an answer. */
import type { HeaderNames } from "./header_names.ts";

/** State of an upstream, as the head of one of its answers tells it. */
export type UpstreamSignals = {
  readonly upstreamId: string;
  /**
   * Requests a second that the upstream takes from all daemons together;
   * undefined when it names no limit.
   */
  readonly limitPerS: number | undefined;
  /** Whether the upstream leaves and wants no further requests. */
  readonly isLeaving: boolean;
};

/** Called with the signals of each answer that belongs to its request. */
export type SignalsHandler = (signals: UpstreamSignals) => void;

/** Headers of an answer, with names in lower case. */
export type AnswerHeaders = Record<string, string | string[] | undefined>;

const LEAVING_VALUE = "1";

/**
 * Reads the signals in the headers of an answer.
 *
 * @param headers Headers of the answer.
 * @param options Upstream to which the request was sent, and header names.
 * @returns The signals; a limit that is not a number from 0 on counts as none.
 */
export function readUpstreamSignals(
  headers: AnswerHeaders,
  { upstreamId, names }: { upstreamId: string; names: HeaderNames },
): UpstreamSignals {
  const limit = headers[names.rateLimit];
  const limitPerS = typeof limit === "string" && limit.trim() !== ""
    ? Number(limit)
    : NaN;
  return {
    upstreamId,
    limitPerS: Number.isFinite(limitPerS) && limitPerS >= 0
      ? limitPerS
      : undefined,
    isLeaving: headers[names.leaving] === LEAVING_VALUE,
  };
}
