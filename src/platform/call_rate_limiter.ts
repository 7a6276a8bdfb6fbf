/** Rate limit and back-off for the calls of one client; the time is an argument. */
import type { RandomSource } from "../core/random.ts";

/** Options of {@link CallRateLimiter}. */
export type CallRateLimiterOptions = {
  /** Calls per second on average; a burst may have twice as many. */
  callsPerSMax: number;
  /** Source of the jitter. */
  random: RandomSource;
  /** Upper bound of the first pause after a failure, in ms. */
  backoffBaseMs?: number;
  /** Upper bound of any pause, in ms. */
  backoffMaxMs?: number;
};

const BACKOFF_BASE_MS = 500;
// Pauses are drawn uniformly: a client notices the end of an outage within 15 s
// on average.
const BACKOFF_MAX_MS = 30_000;
const MS_PER_S = 1_000;
// The acceptor makes five calls per change. With a burst of one second's calls,
// the second of two changes within a second would wait for tokens.
const BURST_S = 2;

/**
 * Token bucket with back-off. A failure starts a pause that is drawn uniformly
 * from `[0, min(max, base * 2^failures))` and empties the bucket. Clients that
 * failed at the same time therefore resume at different times and without a
 * burst.
 *
 * @example
 * const limiter = new CallRateLimiter({ callsPerSMax: 5, random });
 * const waitMs = limiter.reserve(nowMs);
 */
export class CallRateLimiter {
  readonly #callsPerSMax: number;
  readonly #random: RandomSource;
  readonly #backoffBaseMs: number;
  readonly #backoffMaxMs: number;
  /** Time at which the bucket is full, in ms; later times mean fewer tokens. */
  #fullAtMs = -Infinity;
  #pausedUntilMs = -Infinity;
  #failuresCount = 0;

  /**
   * @param options Rate, jitter and bounds of the pauses.
   */
  constructor(options: CallRateLimiterOptions) {
    this.#callsPerSMax = options.callsPerSMax;
    this.#random = options.random;
    this.#backoffBaseMs = options.backoffBaseMs ?? BACKOFF_BASE_MS;
    this.#backoffMaxMs = options.backoffMaxMs ?? BACKOFF_MAX_MS;
  }

  /** Failures since the last success. */
  get failuresCount(): number {
    return this.#failuresCount;
  }

  /**
   * Returns how long a call would have to wait, without taking a token.
   *
   * @param nowMs Monotonic time in ms.
   * @returns Wait in ms; 0 when the call may be sent at once.
   */
  waitMs(nowMs: number): number {
    const tokenAtMs = this.#fullAtMs - this.#refillMs();
    return Math.max(0, tokenAtMs - nowMs, this.#pausedUntilMs - nowMs);
  }

  /**
   * Takes one token. When none is left, it takes the next one to come, for which
   * the call has to wait.
   *
   * @param nowMs Monotonic time in ms.
   * @returns Time that the call has to wait, in ms.
   */
  reserve(nowMs: number): number {
    const waitMs = this.waitMs(nowMs);
    const sentMs = nowMs + waitMs;
    this.#fullAtMs = Math.max(this.#fullAtMs, sentMs) + this.#tokenIntervalMs();
    return waitMs;
  }

  /**
   * Records an answer of the platform and resets the back-off. The bucket stays
   * as the failure emptied it, so that a call during the pause still waits until
   * the end of the pause for a token.
   */
  recordSuccess(): void {
    this.#failuresCount = 0;
    this.#pausedUntilMs = -Infinity;
  }

  /**
   * Records a call that got no answer or an answer that shows an outage, such as
   * a refusal by the platform's rate limit. A failure during a pause does not
   * lengthen it, so that calls that fail together count once.
   *
   * @param nowMs Monotonic time in ms.
   */
  recordFailure(nowMs: number): void {
    if (nowMs < this.#pausedUntilMs) {
      return;
    }
    const boundMs = Math.min(
      this.#backoffMaxMs,
      this.#backoffBaseMs * 2 ** this.#failuresCount,
    );
    this.#failuresCount++;
    this.#pausedUntilMs = nowMs + this.#random.nextFloat() * boundMs;
    this.#fullAtMs = Math.max(
      this.#fullAtMs,
      this.#pausedUntilMs + this.#refillMs(),
    );
  }

  /** Time in which an empty bucket regains all tokens but one, in ms. */
  #refillMs(): number {
    return BURST_S * MS_PER_S - this.#tokenIntervalMs();
  }

  #tokenIntervalMs(): number {
    return MS_PER_S / this.#callsPerSMax;
  }
}
