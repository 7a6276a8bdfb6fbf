/** Records of finished requests, for histograms and counters. */
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { ImportanceClass } from "../schemas/common_schema.ts";

/** How a request ended in this daemon. */
export type RequestRecord = {
  /** Whether this daemon chose the upstream or runs beside it. */
  readonly side: "outbound" | "inbound";
  readonly tenant: string;
  readonly importanceClass: ImportanceClass;
  readonly pool: string;
  readonly result: "complete" | "cancelled" | "broken" | ErrorKind;
  /** Time from the request's arrival to its end, in ms. */
  readonly latencyMs: number;
  /** Time in the queue, in ms; 0 on the outbound side. */
  readonly queueMs: number;
  /** Attempts that were sent. */
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
    // Nothing is kept.
  }
}
