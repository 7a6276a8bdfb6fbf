/**
 * Estimate of the open requests of an upstream from an old report. It answers
 * the load of uneven demand: an upstream that was full once and is no longer
 * chosen sends no answers that say that it has room again.
 */

/** What a daemon knows of the load of an upstream. */
export type KnownLoad = {
  /** Running and waiting requests in the last answer. */
  readonly reportedCount: number;
  readonly reportAgeMs: number;
  /** Mean time of a run in that report, in ms. */
  readonly meanRunMs: number;
  /** Open requests of this daemon, and how many it has sent since that report. */
  readonly pendingCount: number;
  readonly sentSinceReportCount: number;
  /** Running and waiting requests per slot in the last state or busy frame. */
  readonly busyRatio: number;
  readonly limitCount: number;
};

/** Lowest busy ratio that is sent; see `StatePublisher`. */
const BUSY_SENT_MIN_RATIO = 0.75;
/** Part of the throughput by which a queue is assumed to become shorter. */
const DRAIN_RATIO = 0.1;

/**
 * Estimates the number of running and waiting requests of an upstream.
 *
 * @param load Last reports, and the own requests.
 * @returns The reported number and the own open requests since the report; at
 *   least the own open requests.
 */
export function estimateOpenCount(load: KnownLoad): number {
  const { pendingCount, sentSinceReportCount } = load;
  // A cancelled request is no longer pending, but no report has counted it.
  const sentCount = Math.min(sentSinceReportCount, pendingCount);
  return Math.max(presentCount(load) + sentCount, pendingCount);
}

/**
 * Number of the report at the present time. A queue becomes shorter slowly. Below
 * the limit the number returns to its mean as fast as the reported runs end.
 */
function presentCount(
  { reportedCount, reportAgeMs, meanRunMs, busyRatio, limitCount }: KnownLoad,
): number {
  const runMs = Math.max(1, meanRunMs);
  const excessCount = Math.max(0, reportedCount - limitCount);
  const drainMs = excessCount * runMs / Math.max(1, DRAIN_RATIO * limitCount);
  if (reportAgeMs < drainMs) {
    return reportedCount - excessCount * reportAgeMs / drainMs;
  }
  const startCount = reportedCount - excessCount;
  const usualCount = busyRatio > BUSY_SENT_MIN_RATIO
    ? busyRatio * limitCount
    : Math.min(startCount, BUSY_SENT_MIN_RATIO * limitCount);
  const weight = Math.exp((drainMs - reportAgeMs) / runMs);
  return usualCount + (startCount - usualCount) * weight;
}
