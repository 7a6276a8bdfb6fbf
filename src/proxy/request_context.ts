/** Context that the daemons and stages along the path of a request share. */
import { admissionRank } from "../decisions/admission/importance.ts";
import type { ImportanceClass } from "../schemas/common_schema.ts";

/** Properties of a request, passed from the entry to the serving daemon. */
export type RequestContext = {
  readonly requestId: string;
  readonly tenant: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly routeName: string;
  readonly pool: string;
  readonly importanceClass: ImportanceClass;
  /** Stays the same along the call chain and across retries, in `[0, 128)`. */
  readonly admissionKey: number;
  readonly idempotent: boolean;
  /** Depth of the request in the call graph, in hops; 1 at the entry. */
  readonly depthCount: number;
  /** Attempts left for the whole call chain, including this one. */
  readonly attemptsLeftCount: number;
  /** Whether the request is part of a retry by a hop closer to the caller. */
  readonly repeated: boolean;
  /** Monotonic time by which the answer's head must arrive, in ms. */
  readonly deadlineMs: number;
  /** Longest pause within the answer's body, in ms. */
  readonly idleTimeoutMs: number;
  /** Undefined without a key and on routes that ignore keys. */
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
