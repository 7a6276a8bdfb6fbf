/** Interface of the admission decision of one upstream. */
import type { ErrorKind } from "../../errors/error_kinds.ts";
import type { CentralRules, Pool } from "../../schemas/tables_schema.ts";

/** Properties of a request on which the admission decision depends. */
export type AdmissionRequest = {
  /** Identifier of the request within this daemon. */
  readonly ticket: number;
  /** Rank; lower is more important. */
  readonly rank: number;
  readonly tenant: string;
  /** Weight of the tenant's share under overload, relative to other tenants. */
  readonly tenantWeight: number;
  /** Depth of the request in the call graph, in hops; 1 at the entry. */
  readonly depthCount: number;
  /** Deadline of the answer as a monotonic time, in ms. */
  readonly deadlineMs: number;
  /** Route whose service time is estimated; if absent, all routes. */
  readonly route?: string;
};

/** Decision on one request. */
export type AdmissionDecision =
  | { readonly kind: "run" }
  | { readonly kind: "wait" }
  | { readonly kind: "refuse"; readonly error: ErrorKind };

/** Decision on a request that was waiting. */
export type QueueDecision = {
  readonly ticket: number;
  readonly decision: Exclude<AdmissionDecision, { kind: "wait" }>;
};

/** Result of an admitted request. */
export type FinishedRequest = {
  /** Time from the start to the end of the work at the upstream, in ms. */
  readonly latencyMs: number;
  readonly result: "succeeded" | "failed" | "overloaded" | "cancelled";
  /** Route of the request; if absent, it counts only in the totals. */
  readonly route?: string;
  /** Rank as offered; if absent, no downstream level records the result. */
  readonly rank?: number;
  /** Depth of the request in the call graph, in hops; 1 if absent. */
  readonly depthCount?: number;
  /** Part of the latency spent in downstream calls, in ms; 0 if absent. */
  readonly nestedMs?: number;
};

/** Load of one upstream as its daemon reports it with answers. */
export type LoadState = {
  /** Requests with a rank below this value are admitted. */
  readonly levelRank: number;
  readonly inFlightCount: number;
  readonly limitCount: number;
  readonly queuedCount: number;
};

/** Rules of the pool and central rules that an admission policy applies. */
export type AdmissionRules =
  & Pick<
    Pool,
    "limit" | "queueMaxCount" | "queueAgeMaxMs"
  >
  & Pick<CentralRules, "overloadPreference">;

/** Decides which requests run on one upstream, wait or are refused. */
export interface AdmissionPolicy {
  /** Decides on a new request at monotonic time `nowMs`. */
  offer(request: AdmissionRequest, nowMs: number): AdmissionDecision;
  /** Records the end of an admitted request. */
  finish(finished: FinishedRequest, nowMs: number): void;
  /** Removes a waiting request that was cancelled or has expired. */
  cancel(ticket: number): void;
  /**
   * Returns decisions on the waiting requests that run or are refused now.
   * Called after each offer that waits, after each finish, and by a timer while
   * requests wait.
   */
  poll(nowMs: number): QueueDecision[];
  /** Returns the load for answers and metrics. */
  load(): LoadState;
  /** Applies changed rules to running, waiting and later requests. */
  configure(rules: AdmissionRules): void;
  /** Applies a changed number of announced slots. */
  resize(slotsCount: number): void;
  /** Records the upstream's own load report, a hint that may lag or mislead. */
  reportLoad(inFlightCount: number, nowMs: number): void;
}
