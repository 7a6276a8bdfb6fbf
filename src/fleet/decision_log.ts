/** Decisions about single requests, in the log with bounded volume. */
import type { LogFields, Logger } from "../telemetry/logger.ts";

/** What was decided. */
export type DecisionKind =
  | "attempt failed"
  | "ended"
  | "refused"
  | "served";

/** Lines a second that requests with an ordinary course may take. */
const SUCCESS_LINES_PER_S = 2;
/** Lines a second about requests that went wrong. */
const FAILURE_LINES_PER_S = 40;
const MS_PER_S = 1_000;

/**
 * Writes one line a decision. What went wrong has a budget of its own, so that
 * it is not displaced by ordinary requests; a line a second counts what was
 * left out.
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
   * @param log Destination.
   */
  constructor(log: Logger) {
    this.#log = log;
  }

  /**
   * Records a decision.
   *
   * @param kind What was decided.
   * @param requestId Id of the caller's attempt.
   * @param fields Inputs and outcome.
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
    this.#successLinesLeft = SUCCESS_LINES_PER_S;
    this.#failureLinesLeft = FAILURE_LINES_PER_S;
    if (this.#omittedCount > 0) {
      this.#log.info("Decisions left out", { count: this.#omittedCount });
      this.#omittedCount = 0;
    }
  }
}
