/** Controls when requests may be started at the local upstream. */
import { StartRate } from "../decisions/capacity/start_rate.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { UpstreamSignals } from "./upstream_signals.ts";

/**
 * Requests that run at once until an upstream has answered for the first time,
 * because after a restart it is not known whether it has named a limit.
 */
const UNANSWERED_MAX_COUNT = 16;
/** Time after which more run although the upstream has not answered. */
const UNANSWERED_MAX_MS = 1_000;
/** Minimum time until the next attempt to start a waiting request. */
const RETRY_MIN_MS = 10;

/** Options of {@link StartControl}. */
export type StartControlOptions = {
  log: Logger;
  /** Called when a waiting request may be started again. */
  onDue: () => void;
};

/**
 * Applies the limit of requests a second that an upstream names in its answers,
 * and starts few requests until its first answer.
 */
export class StartControl {
  readonly #options: StartControlOptions;
  readonly #rate = new StartRate();
  #upstreamId: string | undefined;
  #servingSinceMs = -Infinity;
  #hasAnswered = false;
  #unansweredCount = 0;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param options Logger and callback.
   */
  constructor(options: StartControlOptions) {
    this.#options = options;
  }

  /** Limit that the upstream has named, in requests a second. */
  get limitPerS(): number | undefined {
    return this.#rate.perS;
  }

  /**
   * Begins anew when another upstream serves.
   *
   * @param upstreamId Upstream that serves.
   */
  setUpstream(upstreamId: string | undefined): void {
    if (upstreamId === this.#upstreamId) {
      return;
    }
    this.#upstreamId = upstreamId;
    this.#servingSinceMs = performance.now();
    this.#hasAnswered = false;
    this.#unansweredCount = 0;
    this.#rate.set(undefined, this.#servingSinceMs);
  }

  /**
   * Applies what the upstream has said of itself in an answer.
   *
   * @param signals Signals of the answer; those of a former upstream are ignored.
   */
  apply({ upstreamId, limitPerS }: UpstreamSignals): void {
    if (upstreamId !== this.#upstreamId) {
      return;
    }
    const lastLimitPerS = this.#rate.perS;
    // A former process may have passed the limit on, so what was started before
    // the first answer counts.
    const startedCount = this.#hasAnswered ? 0 : this.#unansweredCount;
    this.#hasAnswered = true;
    this.#rate.set(limitPerS, performance.now(), startedCount);
    if ((lastLimitPerS === undefined) !== (limitPerS === undefined)) {
      this.#options.log.info("Upstream limit changed", {
        upstreamId,
        limitPerS,
        lastLimitPerS,
      });
    }
  }

  /**
   * Returns whether the upstream takes a further request now.
   *
   * @param runningCount Requests that run at the upstream.
   * @returns True when one may be started, if a slot is free.
   */
  mayStart(runningCount: number): boolean {
    const nowMs = performance.now();
    const isUnanswered = !this.#hasAnswered &&
      nowMs - this.#servingSinceMs < UNANSWERED_MAX_MS;
    return this.#rate.mayStart(nowMs) &&
      !(isUnanswered && runningCount >= UNANSWERED_MAX_COUNT);
  }

  /** Counts a started request. */
  recordStart(): void {
    this.#unansweredCount += this.#hasAnswered ? 0 : 1;
    this.#rate.recordStart(performance.now());
  }

  /**
   * Computes the time until the named limit allows a further request.
   *
   * @param aheadCount Requests that wait before it.
   * @returns Time in ms; 0 without a limit.
   */
  waitMs(aheadCount: number): number {
    return this.#rate.waitMs(performance.now(), aheadCount);
  }

  /** Calls `onDue` when a request that waits with a free slot may start. */
  schedule(): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#options.onDue();
    }, Math.max(RETRY_MIN_MS, this.waitMs(0)));
  }
}
