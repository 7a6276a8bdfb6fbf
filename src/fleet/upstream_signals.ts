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
  /**
   * Present duration of work on the upstream's machine, relative to the usual
   * one; undefined when the upstream does not report it.
   */
  readonly slowdownRatio?: number | undefined;
};

/** Called with the signals of each answer that belongs to its request. */
export type SignalsHandler = (signals: UpstreamSignals) => void;

/** Headers of an answer, with names in lower case. */
export type AnswerHeaders = Record<string, string | string[] | undefined>;

const LEAVING_VALUE = "1";
/** Position of the slowdown in the reported load, and its usual value. */
const SLOWDOWN_INDEX = 3;
const SLOWDOWN_USUAL = 100;
/** Values of the reported load that are read; a longer one is not split whole. */
const LOAD_VALUES_MAX_COUNT = 4;

/** Reads the optional fourth value of the reported load. */
function readSlowdownRatio(
  load: string | string[] | undefined,
): number | undefined {
  if (typeof load !== "string") {
    return undefined;
  }
  const text = load.split(",", LOAD_VALUES_MAX_COUNT)[SLOWDOWN_INDEX];
  const value = text === undefined ? NaN : Number(text);
  return value > 0 && value < Infinity ? value / SLOWDOWN_USUAL : undefined;
}

/**
 * Reads the signals in the headers of an answer.
 *
 * @param headers Headers of the answer.
 * @param options Upstream to which the request was sent, and header names.
 * @returns The signals; a limit that is not a number from 0 on, or a slowdown that
 *   is not a positive number, counts as none.
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
    slowdownRatio: readSlowdownRatio(headers[names.load]),
  };
}
