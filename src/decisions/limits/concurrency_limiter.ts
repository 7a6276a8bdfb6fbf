/** Interface of the concurrency limit of one upstream. */

import type { Pool } from "../../schemas/tables_schema.ts";

/** Measurements of one finished request. */
export type LatencySample = {
  /** Time at the upstream without the request's downstream calls, in ms. */
  readonly latencyMs: number;
  /** Requests that ran when this one ended, itself included. */
  readonly inFlightCount: number;
  /** Whether the upstream refused or dropped the request under load. */
  readonly overloaded: boolean;
};

/** Limits the requests that run at once on one upstream. */
export interface ConcurrencyLimiter {
  /** Value of `limit` in the table of pools that selects the class. */
  readonly kind: Pool["limit"];
  /** Returns the current limit, from 1 to the number of slots. */
  limit(): number;
  /** Records one finished request at monotonic time `nowMs`. */
  record(sample: LatencySample, nowMs: number): void;
  /** Applies a changed number of announced slots. */
  resize(slotsCount: number): void;
}
