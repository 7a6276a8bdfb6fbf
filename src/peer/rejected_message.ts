/** Messages between daemons that do not pass a check. */

/** Why a message is rejected. */
export type RejectionReason =
  | "malformed"
  | "version"
  | "mac"
  | "stale"
  | "target"
  | "schema";

/** A message that did not pass a check. */
export class RejectedMessageError extends Error {
  readonly reason: RejectionReason;

  /**
   * @param reason Check that failed.
   * @param message Sentence for logs, without a final period.
   */
  constructor(reason: RejectionReason, message: string) {
    super(message);
    this.name = "RejectedMessageError";
    this.reason = reason;
  }
}
