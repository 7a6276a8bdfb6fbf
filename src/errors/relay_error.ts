/** Error with which a request fails. */
import VError from "verror";
import { errorAnswer, type ErrorKind, type Outcome } from "./error_kinds.ts";

/** Options of {@link RelayError}. */
export type RelayErrorOptions = {
  /** Underlying error. */
  cause?: Error;
  /** Outcome, when it is known; by default the outcome of the kind. */
  outcome?: Outcome;
};

/**
 * Failure of a request. Its error kind determines the answer to the caller.
 *
 * @example
 * throw new RelayError("no_route", "No route matches GET /unknown");
 */
export class RelayError extends VError {
  readonly kind: ErrorKind;
  readonly outcome: Outcome;

  /**
   * @param kind Error kind.
   * @param message Message for logs, without a final period.
   * @param options Cause, and outcome if it differs from that of the kind.
   */
  constructor(
    kind: ErrorKind,
    message: string,
    options: RelayErrorOptions = {},
  ) {
    super({ name: "RelayError", cause: options.cause }, "%s", message);
    this.kind = kind;
    this.outcome = options.outcome ?? errorAnswer(kind).outcome;
  }
}
