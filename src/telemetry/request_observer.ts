/** Interface for recording finished requests. */
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { ImportanceClass } from "../schemas/common_schema.ts";

/** Result and timing of a finished request. */
export type RequestRecord = {
  /**
   * Outbound in the daemon that chose the upstream, inbound in the daemon whose
   * local upstream was chosen.
   */
  readonly side: "outbound" | "inbound";
  readonly tenant: string;
  readonly importanceClass: ImportanceClass;
  readonly pool: string;
  /**
   * Result of the request; `broken` on the outbound side when the answer failed
   * after its start had been sent to the caller.
   */
  readonly result: "complete" | "cancelled" | "broken" | ErrorKind;
  /** Time from the request's arrival to its end, in ms. */
  readonly latencyMs: number;
  /** Time in the queue, in ms; 0 on the outbound side. */
  readonly queueMs: number;
  /** Number of attempts that were sent. */
  readonly attemptsCount: number;
};

/** Receives records of finished requests. */
export interface RequestObserver {
  /** Records one finished request. */
  record(record: RequestRecord): void;
}

/** Drops all records, for tests and tools without metrics. */
export class NullRequestObserver implements RequestObserver {
  /** @inheritdoc */
  record(_record: RequestRecord): void {
    // Records are dropped.
  }
}
