/** Error for messages between daemons that fail a check. */

/** Reason for the rejection of a message. */
export type RejectionReason =
  | "malformed"
  | "version"
  | "mac"
  | "stale"
  | "target"
  | "schema";

/** Thrown when a message fails a check. */
export class RejectedMessageError extends Error {
  readonly reason: RejectionReason;

  /**
   * @param reason Check that failed.
   * @param message Message for logs, without a final period.
   */
  constructor(reason: RejectionReason, message: string) {
    super(message);
    this.name = "RejectedMessageError";
    this.reason = reason;
  }
}
