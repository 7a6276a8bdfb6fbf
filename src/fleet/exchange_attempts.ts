/** Attempts of one forwarded request: how many, and to which upstreams. */
import type {
  ForwardFailure,
  UpstreamChannel,
} from "../link/upstream_channel.ts";
import type { ExchangeParts } from "./exchange_parts.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Maximum number of daemons to which one request is sent, including daemons
 * that refuse it before it reaches their upstream.
 */
const SENDS_MAX_COUNT = 4;
/**
 * Maximum number of sends to a pool whose upstreams refuse a share of what
 * arrives. With half of them refused, 1 request in 256 is refused each time.
 */
const REFUSED_SENDS_MAX_COUNT = 8;
/**
 * Minimum time until the deadline for a retry. With less time, an answer
 * before the deadline is unlikely.
 */
const RETRY_REMAINING_MIN_MS = 30;

const NONE_TRIED: ReadonlySet<string> = new Set();

/** Counts the attempts of a request and decides on the next one. */
export class ExchangeAttempts {
  readonly #request: RoutedRequest;
  readonly #parts: ExchangeParts;
  #tried: Set<string> | undefined;
  #channel: UpstreamChannel | undefined;
  #sendsCount = 0;
  #reachedCount = 0;
  /** Upstreams that have refused the request and were not lost afterwards. */
  #refusing: UpstreamChannel[] | undefined;
  /** Whether the request is sent again to an upstream that has refused it. */
  #isSentAgain = false;

  /**
   * @param request Admitted request.
   * @param parts Parts of the daemon.
   */
  constructor(request: RoutedRequest, parts: ExchangeParts) {
    this.#request = request;
    this.#parts = parts;
  }

  /** Channel of the last attempt; undefined before the first. */
  get channel(): UpstreamChannel | undefined {
    return this.#channel;
  }

  /** Number of daemons to which the request was sent. */
  get sendsCount(): number {
    return this.#sendsCount;
  }

  /** Number of upstreams that were reached by an attempt. */
  get reachedCount(): number {
    return this.#reachedCount;
  }

  /**
   * Counts a send.
   *
   * @returns Its number.
   */
  recordSend(): number {
    return ++this.#sendsCount;
  }

  /** Counts the upstream of the last attempt, unless it was reached before. */
  recordReached(): void {
    this.#reachedCount += this.#isSentAgain ? 0 : 1;
  }

  /**
   * Notes whether the upstream of the last attempt may get the request again.
   *
   * @param failure Failure of an attempt that did not run.
   */
  recordNotRun({ hasReached }: ForwardFailure): void {
    const channel = this.#channel as UpstreamChannel;
    const others = this.#refusing?.filter((other) => other !== channel) ?? [];
    this.#refusing = hasReached ? [...others, channel] : others;
  }

  /**
   * Returns whether a request that did not run may be sent again. If it may, but
   * had reached its upstream, the retry budget is charged.
   *
   * @param failure Failure of the last attempt.
   * @returns True when it may.
   */
  mayFollowRefusal(failure: ForwardFailure): boolean {
    if (failure.kind === "deadline_exceeded") {
      return false;
    }
    const { isCall, pool } = this.#request;
    if (failure.hasReached && isCall && this.#parts.isRefusing(pool)) {
      return this.#maySendAgain();
    }
    const sendsMaxCount = this.#isSentAgain
      ? REFUSED_SENDS_MAX_COUNT
      : SENDS_MAX_COUNT;
    return this.#sendsCount < sendsMaxCount &&
      (!failure.hasReached || this.#takeRetry());
  }

  /**
   * Charges the retry budget for one more attempt of a request that may have run.
   *
   * @returns False, without a charge, if the number of sends, the route, the
   *   deadline or the budget does not allow it.
   */
  reserveRetry(): boolean {
    return this.#sendsCount < SENDS_MAX_COUNT && this.#takeRetry();
  }

  /**
   * Chooses an upstream that has not been tried. Once the request has reached as
   * many as its route allows, it goes again to the one that refused it last: one
   * that refuses a share of its requests takes the next one as probably as another
   * upstream does.
   *
   * @returns Channel of the next attempt; undefined without any.
   */
  choose(): UpstreamChannel | undefined {
    const { pool, route, expiresAtMs } = this.#request;
    const last = this.#channel;
    if (last !== undefined && this.#reachedCount >= route.attemptsMax) {
      const refusing = this.#refusing?.at(-1);
      if (refusing !== undefined) {
        this.#isSentAgain = true;
        this.#channel = refusing;
      }
      return refusing;
    }
    if (last !== undefined) {
      this.#tried ??= new Set();
      this.#tried.add(last.member.name);
    }
    const channel = this.#parts.channels.choose(pool, {
      routeName: route.name,
      remainingMs: expiresAtMs - performance.now(),
      tried: this.#tried ?? NONE_TRIED,
    });
    this.#channel = channel ?? last;
    return channel;
  }

  /**
   * Returns whether a refused downstream call is sent again, to another upstream
   * or to the same one. If so, the retry budget is charged. Calls that make calls
   * of their own are not, since a retry would repeat these.
   */
  #maySendAgain(): boolean {
    const { route, pool, expiresAtMs } = this.#request;
    const nowMs = performance.now();
    return this.#sendsCount < REFUSED_SENDS_MAX_COUNT &&
      this.#parts.runsPerRequest(route.name) <= 1 &&
      expiresAtMs - nowMs > RETRY_REMAINING_MIN_MS &&
      this.#parts.budget.takeForRefused(pool, {
        nowMs,
        daemonsCount: this.#parts.daemonsCount(),
      });
  }

  #takeRetry(): boolean {
    const { route, pool, expiresAtMs } = this.#request;
    const nowMs = performance.now();
    return this.#reachedCount < route.attemptsMax &&
      expiresAtMs - nowMs > RETRY_REMAINING_MIN_MS &&
      this.#parts.budget.take(pool, {
        nowMs,
        daemonsCount: this.#parts.daemonsCount(),
        cost: this.#parts.runsPerRequest(route.name),
      });
  }
}
