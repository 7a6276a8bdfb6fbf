/** Rate limits and call counters of the platform stand-in. */

/** Limits of the object API. */
export type PlatformLimits = {
  readonly readsPerSMax: number;
  readonly writesPerSMax: number;
  readonly valueMaxBytes: number;
};

/**
 * Default limits. The figures stated for the real platform are several hundred
 * writes and 2,000 reads a second.
 */
export const DEFAULT_LIMITS: PlatformLimits = {
  readsPerSMax: 2_000,
  writesPerSMax: 400,
  valueMaxBytes: 1_048_576,
};

/** Kinds of calls that are counted. */
export type CallKind = "read" | "list" | "write" | "watch";

/** Counters since the start of the program. */
export type PlatformCounters = {
  /** Calls that were admitted, by kind. */
  calls: Record<CallKind, number>;
  /** Calls that a rate limit refused. */
  limitedCount: number;
  /** Calls that arrived while the platform was down. */
  downCount: number;
  /** Watches that are open. */
  waitingWatchesCount: number;
  /** Largest number of calls in one second, refused ones included. */
  peakCallsPerS: number;
};

const WINDOW_MS = 1_000;

/**
 * Counts calls in windows of one second and refuses those over the limit.
 *
 * @example
 * const limiter = new PlatformRateLimiter(DEFAULT_LIMITS);
 * limiter.admit("read", performance.now()); // true
 */
export class PlatformRateLimiter {
  readonly limits: PlatformLimits;
  readonly counters: PlatformCounters = {
    calls: { read: 0, list: 0, write: 0, watch: 0 },
    limitedCount: 0,
    downCount: 0,
    waitingWatchesCount: 0,
    peakCallsPerS: 0,
  };
  #windowStartMs = -WINDOW_MS;
  #readsCount = 0;
  #writesCount = 0;

  /**
   * @param limits Limits to enforce.
   */
  constructor(limits: PlatformLimits) {
    this.limits = limits;
  }

  /**
   * Counts one call.
   *
   * @param kind Kind of the call.
   * @param nowMs Monotonic time in ms.
   * @returns False when the call is over the limit of this second.
   */
  admit(kind: CallKind, nowMs: number): boolean {
    this.#advanceWindow(nowMs);
    const admitted = kind === "write"
      ? ++this.#writesCount <= this.limits.writesPerSMax
      : ++this.#readsCount <= this.limits.readsPerSMax;
    const { counters } = this;
    counters.peakCallsPerS = Math.max(
      counters.peakCallsPerS,
      this.#readsCount + this.#writesCount,
    );
    if (admitted) {
      counters.calls[kind]++;
    } else {
      counters.limitedCount++;
    }
    return admitted;
  }

  #advanceWindow(nowMs: number): void {
    if (nowMs - this.#windowStartMs < WINDOW_MS) {
      return;
    }
    this.#windowStartMs = nowMs;
    this.#readsCount = 0;
    this.#writesCount = 0;
  }
}
