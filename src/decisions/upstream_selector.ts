/** Interface of the choice of an upstream for one attempt. */
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { Pool } from "../schemas/tables_schema.ts";
import type { LoadState } from "./admission_policy.ts";
import type { Endpoint } from "./upstream_directory.ts";

/** What the choice knows of a pool. */
export type PoolView = {
  readonly name: string;
  readonly rules: Pool;
  readonly endpoints: readonly Endpoint[];
};

/** What the choice knows of a request. */
export type SelectionRequest = {
  /** Rank; lower is more important. */
  readonly rank: number;
  /** Instances that already refused or failed this request. */
  readonly excludedIds: readonly string[];
  /** Hops of the call to send, 1 at the entry of the graph; absent is 1. */
  readonly depthCount?: number;
};

/** A chosen endpoint or the reason why there is none. */
export type Selection =
  | { readonly kind: "chosen"; readonly endpoint: Endpoint }
  | { readonly kind: "refuse"; readonly error: ErrorKind };

/** How an attempt at an endpoint ended. */
export type AttemptResult = {
  readonly instanceId: string;
  readonly result: "succeeded" | "failed" | "overloaded" | "cancelled";
  /** Time from the dispatch to the end, in ms. */
  readonly latencyMs: number;
  /** Load that the answer stated; undefined without an answer. */
  readonly load?: LoadState;
};

/** Chooses upstreams by the daemon's own counts and stated load. */
export interface UpstreamSelector {
  /** Chooses an endpoint at monotonic time `nowMs`. */
  choose(
    pool: PoolView,
    request: SelectionRequest,
    nowMs: number,
  ): Selection;
  /** Records that an attempt was sent. */
  started(instanceId: string, nowMs: number): void;
  /** Records the end of an attempt. */
  finished(result: AttemptResult, nowMs: number): void;
}
