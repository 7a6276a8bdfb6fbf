/** A request that is forwarded, and the sender of its answer. */
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { UpstreamAnswer } from "../link/upstream_channel.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";

/** A received request for which a route and a pool have been found. */
export type RoutedRequest = {
  /**
   * Id that the caller gave to the request, for logs and for the answer; empty
   * without one.
   */
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array | null;
  readonly route: FleetRoute;
  readonly pool: string;
  /** Monotonic time of arrival, in ms. */
  readonly arrivedAtMs: number;
  /** Longest time for which it may have waited unread before that, in ms. */
  readonly inputDelayMs: number;
  /** Deadline of the answer, as a monotonic time in ms. */
  readonly expiresAtMs: number;
  /**
   * Latency goal, as a monotonic time in ms. Answers after it have less value
   * to the caller.
   */
  readonly goalAtMs: number;
  /**
   * Whether it is a downstream call of a request that the local upstream runs.
   */
  readonly isCall: boolean;
  /** Tenant on whose behalf it is sent; undefined without one. */
  readonly tenantName: string | undefined;
  /** Rank under overload, of the tenant or the route; 0 is shed last. */
  readonly priority: number;
  /** Key of the tenant; undefined for calls and requests that need none. */
  readonly key: string | undefined;
};

/** Sends the answer to one request. */
export interface AnswerSender {
  /** Sends the answer of an upstream. */
  answer(answer: UpstreamAnswer): void;
  /**
   * Sends the answer of an error kind. The time after which the caller should
   * retry may be given, in ms.
   */
  fail(kind: ErrorKind, retryAfterMs?: number): void;
}
