/** Effect of an upstream's own load report on its limit. */

const REPORT_EXPIRY_MS = 2_000;
const LIMIT_MIN_RATIO = 0.5;

/**
 * Lowers a limit by the load that an upstream reports beyond the daemon's own
 * requests. Reports may lag or mislead, so a report can only lower the limit,
 * to no less than half, and expires.
 */
export class LoadReportBound {
  #excessCount = 0;
  #reportedMs = Number.NEGATIVE_INFINITY;

  /**
   * Records a report.
   *
   * @param counts Requests reported by the upstream and counted by the daemon.
   * @param nowMs Monotonic time of the report, in ms.
   */
  report(
    counts: { readonly reportedCount: number; readonly ownCount: number },
    nowMs: number,
  ): void {
    this.#excessCount = Math.max(0, counts.reportedCount - counts.ownCount);
    this.#reportedMs = nowMs;
  }

  /**
   * Applies the last report to a limit.
   *
   * @param limitCount Limit of the concurrency limiter.
   * @param nowMs Monotonic time, in ms.
   * @returns Limit between half of the given one and the given one.
   */
  bound(limitCount: number, nowMs: number): number {
    if (nowMs - this.#reportedMs > REPORT_EXPIRY_MS) {
      return limitCount;
    }
    const lowest = Math.ceil(limitCount * LIMIT_MIN_RATIO);
    return Math.max(lowest, limitCount - this.#excessCount);
  }
}
