/** Interface of the admission decision of one upstream. */
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { CentralRules, Pool } from "../schemas/tables_schema.ts";

/** What the admission decision knows of a request. */
export type AdmissionRequest = {
  /** Identity within this daemon. */
  readonly ticket: number;
  /** Rank; lower is more important. */
  readonly rank: number;
  readonly tenant: string;
  /** Share of the tenant under overload relative to others. */
  readonly tenantWeight: number;
  /** Hops of the request, 1 at the entry of the call graph. */
  readonly depthCount: number;
  /** Monotonic time by which the answer must be there, in ms. */
  readonly deadlineMs: number;
  /** Route, for its typical service time; absent uses that of all routes. */
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

/** How an admitted request ended. */
export type FinishedRequest = {
  /** Time from the start of the upstream's work to its end, in ms. */
  readonly latencyMs: number;
  readonly result: "succeeded" | "failed" | "overloaded" | "cancelled";
  /** Route of the request; absent counts for all routes only. */
  readonly route?: string;
  /** Rank that was offered; without it refusals further down teach nothing. */
  readonly rank?: number;
  /** Hops of the request, 1 at the entry of the call graph; absent is 1. */
  readonly depthCount?: number;
  /** Part of the latency spent on calls further down, in ms; absent is 0. */
  readonly nestedMs?: number;
};

/** Load of one upstream as its daemon states it on answers. */
export type LoadState = {
  /** Requests with a rank below this value are admitted. */
  readonly levelRank: number;
  readonly inFlightCount: number;
  readonly limitCount: number;
  readonly queuedCount: number;
};

/** Rules of the pool and of the centre that an admission policy follows. */
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
  /** Records the end of a request that was told to run. */
  finish(finished: FinishedRequest, nowMs: number): void;
  /** Removes a waiting request whose caller has gone. */
  cancel(ticket: number): void;
  /**
   * Returns the waiting requests that run or are refused now. Called after each
   * offer that waits, after each finish, and by a timer while requests wait.
   */
  poll(nowMs: number): QueueDecision[];
  /** States the load for answers and metrics. */
  load(): LoadState;
  /** Applies changed rules to requests that run, wait and come. */
  configure(rules: AdmissionRules): void;
  /** Applies the announced slots of the upstream. */
  resize(slotsCount: number): void;
  /** Takes the upstream's own load report as a hint, never as the truth. */
  reportLoad(inFlightCount: number, nowMs: number): void;
}
