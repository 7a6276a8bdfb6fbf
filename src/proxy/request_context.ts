/** What the daemons know of one request. */
import { admissionRank } from "../decisions/importance.ts";
import type { ImportanceClass } from "../schemas/common_schema.ts";

/** Properties of a request that travel along the chain. */
export type RequestContext = {
  readonly requestId: string;
  readonly tenant: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly routeName: string;
  readonly pool: string;
  readonly importanceClass: ImportanceClass;
  /** Same along the chain and over retries, in `[0, 128)`. */
  readonly admissionKey: number;
  readonly idempotent: boolean;
  /** Hops that the request has passed. */
  readonly depthCount: number;
  /** Attempts left along the whole chain, this one included. */
  readonly attemptsLeftCount: number;
  /** Whether a hop nearer the caller repeats the request. */
  readonly repeated: boolean;
  /** Monotonic time by which the answer's head must be there, in ms. */
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
