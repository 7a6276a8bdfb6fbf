/** Requests of one tenant that wait for a token at one daemon. */
import type { RandomSource } from "../../core/random.ts";
import { WAIT_MAX_MS } from "./cap_limits.ts";
import type { UsedToken } from "./token_stock.ts";

/** Decision on one request. */
export type CapDecision =
  | { isAdmitted: true }
  | {
    isAdmitted: false;
    /** Time after which the tenant has capacity again, in ms. */
    retryAfterMs: number;
  };

/** A request that waits. */
export type CapWaiter = {
  readonly sinceMs: number;
  /** Called with the token of an admitted request, if it needs one. */
  readonly onDecision: (decision: CapDecision, token?: UsedToken) => void;
};

/** Maximum waiting requests of one tenant; further ones are refused at once. */
const WAITERS_MAX_COUNT = 1_000;
/**
 * Minimum time over which refused callers are spread. Callers that are told the
 * same time would return at once.
 */
const SPREAD_MIN_MS = 1_000;

/** First-in, first-out queue with a bound on length and time. */
export class TenantWaiters {
  readonly #random: RandomSource;
  #waiters: CapWaiter[] = [];
  /** Time until the bucket has room as the owner said last, in ms. */
  roomInMs = 0;

  /**
   * @param random Random numbers that spread refused callers.
   */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Number of waiting requests. */
  get count(): number {
    return this.#waiters.length;
  }

  /** Monotonic time until which the first request waits; undefined for none. */
  get firstDeadlineMs(): number | undefined {
    const [first] = this.#waiters;
    return first && first.sinceMs + WAIT_MAX_MS;
  }

  /**
   * Adds a request.
   *
   * @param waiter The request.
   * @returns Whether there was room for it.
   */
  add(waiter: CapWaiter): boolean {
    if (this.#waiters.length >= WAITERS_MAX_COUNT) {
      return false;
    }
    this.#waiters.push(waiter);
    return true;
  }

  /**
   * Removes a request that was cancelled.
   *
   * @param waiter The request.
   */
  remove(waiter: CapWaiter): void {
    const index = this.#waiters.indexOf(waiter);
    if (index >= 0) {
      this.#waiters.splice(index, 1);
    }
  }

  /**
   * Admits the request that has waited longest.
   *
   * @param token Its token, if it needs one.
   */
  admitFirst(token?: UsedToken): void {
    this.#waiters.shift()?.onDecision({ isAdmitted: true }, token);
  }

  /**
   * Returns whether a request has waited since a time.
   *
   * @param atMs Monotonic time, in ms.
   */
  hasWaitedSince(atMs: number): boolean {
    const [first] = this.#waiters;
    return first !== undefined && first.sinceMs <= atMs;
  }

  /**
   * Refuses the requests that have waited longest.
   *
   * @param count Maximum requests to refuse.
   * @param sinceMs Monotonic time since which they have waited, in ms.
   * @returns Number of refused requests.
   */
  refuseFirst(count: number, sinceMs = Infinity): number {
    const later = this.#waiters.findIndex((waiter) => waiter.sinceMs > sinceMs);
    const waitedCount = later < 0 ? this.#waiters.length : later;
    const refused = this.#waiters.splice(0, Math.min(count, waitedCount));
    for (const { onDecision } of refused) {
      onDecision(this.createRefusal());
    }
    return refused.length;
  }

  /**
   * Refuses the requests that have waited too long.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Number of refused requests.
   */
  refuseOverdue(nowMs: number): number {
    const index = this.#waiters
      .findIndex(({ sinceMs }) => nowMs < sinceMs + WAIT_MAX_MS);
    return this.refuseFirst(index < 0 ? this.#waiters.length : index);
  }

  /**
   * Creates a refusal with a random time, from the time at which the bucket will
   * have room to twice that time.
   *
   * @returns The refusal.
   */
  createRefusal(): CapDecision {
    const spreadMs = Math.max(SPREAD_MIN_MS, this.roomInMs);
    const retryAfterMs = Math.ceil(
      this.roomInMs + spreadMs * this.#random.nextFloat(),
    );
    return { isAdmitted: false, retryAfterMs };
  }
}
