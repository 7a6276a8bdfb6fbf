/** Rate-limited log of the decisions about single requests. */
import type { LogFields, Logger } from "../telemetry/logger.ts";

/**
 * Kind of a decision; part of the log message. `served` lines are written by
 * the daemon whose local upstream was chosen, only for requests that it refused
 * on arrival or that failed at the upstream. `refused` lines are about requests
 * that were refused before an upstream was chosen.
 */
export type DecisionKind =
  | "attempt failed"
  | "ended"
  | "refused"
  | "served";

/** Maximum lines per second about requests with a 2xx answer. */
const SUCCESS_LINES_MAX_PER_S = 2;
/** Maximum lines per second about all other decisions. */
const FAILURE_LINES_MAX_PER_S = 40;
const MS_PER_S = 1_000;

/**
 * Writes one line per decision, up to a limit per second. Failures have a limit
 * of their own, so that successful requests do not displace them. The number of
 * omitted lines is logged at most once a second.
 *
 * @example
 * decisions.record("ended", requestId, { outcome: "shed" });
 */
export class DecisionLog {
  readonly #log: Logger;
  #secondStartMs = -Infinity;
  #successLinesLeft = 0;
  #failureLinesLeft = 0;
  #omittedCount = 0;

  /**
   * @param log Logger that receives the lines.
   */
  constructor(log: Logger) {
    this.#log = log;
  }

  /**
   * Logs a decision, or counts it as omitted.
   *
   * @param kind Kind of the decision.
   * @param requestId Id that the caller gave to the request.
   * @param fields Further fields of the line; an `outcome` that starts with
   *   `answered 2` marks a success.
   */
  record(kind: DecisionKind, requestId: string, fields: LogFields): void {
    this.#startSecond();
    const isFailure = !String(fields["outcome"]).startsWith("answered 2");
    if (
      isFailure ? this.#failureLinesLeft-- <= 0 : this.#successLinesLeft-- <= 0
    ) {
      this.#omittedCount++;
      return;
    }
    this.#log.info(`Request ${kind}`, { requestId, ...fields });
  }

  #startSecond(): void {
    const nowMs = performance.now();
    if (nowMs - this.#secondStartMs < MS_PER_S) {
      return;
    }
    this.#secondStartMs = nowMs;
    this.#successLinesLeft = SUCCESS_LINES_MAX_PER_S;
    this.#failureLinesLeft = FAILURE_LINES_MAX_PER_S;
    if (this.#omittedCount > 0) {
      this.#log.info("Decisions left out", { count: this.#omittedCount });
      this.#omittedCount = 0;
    }
  }
}
