/** Concurrency limit that always equals the announced slots. */
import type {
  ConcurrencyLimiter,
  LatencySample,
} from "./concurrency_limiter.ts";

/** Allows as many concurrent requests as the upstream has slots. */
export class FixedLimiter implements ConcurrencyLimiter {
  readonly kind = "fixed";
  #slotsCount: number;

  /**
   * @param slotsCount Announced slots of the upstream.
   */
  constructor(slotsCount: number) {
    this.#slotsCount = slotsCount;
  }

  /** @inheritdoc */
  limit(): number {
    return this.#slotsCount;
  }

  /** @inheritdoc */
  record(_sample: LatencySample, _nowMs: number): void {
    // The fixed limit ignores latency.
  }

  /** @inheritdoc */
  resize(slotsCount: number): void {
    this.#slotsCount = slotsCount;
  }
}
