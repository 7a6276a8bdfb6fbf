/** Context of a request. */
import { admissionRank } from "../decisions/importance.ts";
import type { ImportanceClass } from "../schemas/common_schema.ts";

/** Properties of a request that are passed along the call chain. */
export type RequestContext = {
  readonly requestId: string;
  readonly tenant: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly routeName: string;
  readonly pool: string;
  readonly importanceClass: ImportanceClass;
  /** Stays the same along the chain and across retries, in `[0, 128)`. */
  readonly admissionKey: number;
  readonly idempotent: boolean;
  /** Hops that the request has passed. */
  readonly depthCount: number;
  /** Attempts left for the whole chain, including this one. */
  readonly attemptsLeftCount: number;
  /** Whether the request is part of a retry by a hop closer to the caller. */
  readonly repeated: boolean;
  /** Monotonic time by which the answer's head must arrive, in ms. */
  readonly deadlineMs: number;
  /** Longest pause within the answer's body, in ms. */
  readonly idleTimeoutMs: number;
  readonly idempotencyKey: string | undefined;
};

/**
 * Computes the rank of a request.
 *
 * @param context Context of the request.
 * @returns Rank in `[0, 512)`; lower is more important.
 */
export function rankOf(context: RequestContext): number {
  return admissionRank(context.importanceClass, context.admissionKey);
}
