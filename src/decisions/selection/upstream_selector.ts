/** Interface of the selection of an upstream for one attempt. */
import type { ErrorKind } from "../../errors/error_kinds.ts";
import type { Pool } from "../../schemas/tables_schema.ts";
import type { LoadState } from "../admission/admission_policy.ts";
import type { Endpoint } from "./upstream_directory.ts";

/** Properties of a pool on which the choice depends. */
export type PoolView = {
  readonly name: string;
  readonly rules: Pool;
  readonly endpoints: readonly Endpoint[];
};

/** Properties of a request on which the choice depends. */
export type SelectionRequest = {
  /** Rank; lower is more important. */
  readonly rank: number;
  /** Instances that already refused or failed this request. */
  readonly excludedIds: readonly string[];
  /** Depth of the call to send, in hops; 1 at the entry; 1 if absent. */
  readonly depthCount?: number;
};

/** A chosen endpoint or the reason why there is none. */
export type Selection =
  | { readonly kind: "chosen"; readonly endpoint: Endpoint }
  | { readonly kind: "refuse"; readonly error: ErrorKind };

/** Result of an attempt at an endpoint. */
export type AttemptResult = {
  readonly instanceId: string;
  readonly result: "succeeded" | "failed" | "overloaded" | "cancelled";
  /** Time from the start to the end of the attempt, in ms. */
  readonly latencyMs: number;
  /** Load that the answer reported; undefined without an answer. */
  readonly load?: LoadState;
};

/** Chooses upstreams by the daemon's own counts and the reported load. */
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
