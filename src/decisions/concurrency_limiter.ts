/** Interface of the concurrency limit of one upstream. */

import type { Pool } from "../schemas/tables_schema.ts";

/** One finished request as a limiter sees it. */
export type LatencySample = {
  /** Upstream time of the request without waits for calls further down, in ms. */
  readonly latencyMs: number;
  /** Requests that ran when this one ended, itself included. */
  readonly inFlightCount: number;
  /** Whether the upstream refused or dropped the request under load. */
  readonly overloaded: boolean;
};

/** Adapts the number of requests that run at once on one upstream. */
export interface ConcurrencyLimiter {
  /** Name of the class in the table of pools. */
  readonly kind: Pool["limit"];
  /** Returns the limit in force; at least 1 and at most the slots. */
  limit(): number;
  /** Takes one finished request into account at monotonic time `nowMs`. */
  record(sample: LatencySample, nowMs: number): void;
  /** Applies the announced slots of the upstream. */
  resize(slotsCount: number): void;
}
