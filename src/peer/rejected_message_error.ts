/** Error for messages between daemons that fail a check. */

/** Check that a message failed. */
export type RejectionReason =
  /** It cannot be decoded. */
  | "malformed"
  /** Its envelope has another version, or its body other field names. */
  | "version"
  /** Its key is unknown, or its message authentication code is wrong. */
  | "mac"
  /** Its time differs too much from this daemon's clock. */
  | "stale"
  /**
   * It is for another instance, method or direction, or answers another
   * request.
   */
  | "target"
  /** Its envelope, head or body does not match its schema. */
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
