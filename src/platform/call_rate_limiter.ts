/** Call budget of one client: token bucket and back-off, on given times. */
import type { RandomSource } from "../core/random.ts";

/** Options of {@link CallRateLimiter}. */
export type CallRateLimiterOptions = {
  /** Calls that are allowed in a second on average; twice as many at once. */
  callsPerSMax: number;
  /** Source of the jitter. */
  random: RandomSource;
  /** Upper bound of the first pause after a failure, in ms. */
  backoffBaseMs?: number;
  /** Upper bound of any pause, in ms. */
  backoffMaxMs?: number;
};

const BACKOFF_BASE_MS = 500;
// A client notices the end of an outage within 15 s on average.
const BACKOFF_MAX_MS = 30_000;
const MS_PER_S = 1_000;
// The acceptor makes five calls for one change; with a burst of one second's
// calls the second of two changes within a second waited for the budget.
const BURST_S = 2;

/**
 * Decides when a call may be sent. Each failure draws a pause uniformly from
 * `[0, base * 2^failures)` and empties the bucket, so that clients that failed
 * together neither return together nor with a burst.
 *
 * @example
 * const gate = new CallGate({ callsPerSMax: 5, random });
 * const waitMs = gate.reserve(nowMs);
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
   * @param options Budget, jitter and bounds of the pauses.
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
   * Tells how long a call would wait now.
   *
   * @param nowMs Monotonic time in ms.
   * @returns Wait in ms; 0 when the call may be sent at once.
   */
  waitMs(nowMs: number): number {
    const tokenAtMs = this.#fullAtMs - this.#refillMs();
    return Math.max(0, tokenAtMs - nowMs, this.#pausedUntilMs - nowMs);
  }

  /**
   * Takes one token, from the future when none is left.
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

  /** Records an answer of the platform; ends the back-off. */
  recordSuccess(): void {
    this.#failuresCount = 0;
    this.#pausedUntilMs = -Infinity;
  }

  /**
   * Records a call without an answer, or one that the platform refused by its
   * rate limit. Calls that fail together count once: a failure during a pause
   * does not lengthen it.
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

  /** Time in which all tokens but one of an empty bucket return. */
  #refillMs(): number {
    return BURST_S * MS_PER_S - this.#tokenIntervalMs();
  }

  #tokenIntervalMs(): number {
    return MS_PER_S / this.#callsPerSMax;
  }
}
