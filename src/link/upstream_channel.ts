/** Requests to upstreams, local or of another daemon, and their results. */
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type { LoadReport, UpstreamState } from "../schemas/link_schema.ts";

/** A request that is forwarded to an upstream. */
export type ForwardedRequest = {
  /** Id of the chosen upstream. No other one may run the request. */
  readonly upstreamId: string;
  readonly method: string;
  /** Path and query of the URL, unchanged. */
  readonly path: string;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | null;
  /** Time until the deadline of the answer, in ms. */
  readonly remainingMs: number;
  readonly routeName: string;
  /** Time until the latency goal, in ms; negative when it has passed. */
  readonly goalRemainingMs: number;
  /** Whether it may be refused because of load; downstream calls may not. */
  readonly isRefusable: boolean;
  /** Pool of the instance whose daemon received the request. */
  readonly callerPool: string;
};

/** Answer of an upstream. */
export type UpstreamAnswer = {
  readonly status: number;
  /**
   * Alternating names and values, without hop-by-hop headers and request id.
   */
  readonly headers: readonly string[];
  readonly body: Uint8Array | null;
  /** Time from the request to the upstream until its complete answer, in ms. */
  readonly runMs: number;
};

/** Failure of a request that no upstream has answered. */
export type ForwardFailure = {
  readonly kind: ErrorKind;
  /** Whether it is certain that the request did not run. */
  readonly isNotRun: boolean;
  /** Whether the request was sent, or may have been sent, to the upstream. */
  readonly hasReached: boolean;
};

/**
 * Receives the result of a request: unless the request is cancelled, one of the
 * methods is called once.
 */
export interface ResultReceiver {
  /** Called with the answer of the upstream. */
  onAnswer(answer: UpstreamAnswer): void;
  /** Called when there will be no answer. */
  onFailure(failure: ForwardFailure): void;
}

/** Handle with which a request can be cancelled. */
export interface RequestHandle {
  /** Cancels the request. Its receiver is not called afterwards. */
  cancel(): void;
}

/** Channel on which requests are sent to one upstream. */
export interface UpstreamChannel {
  /** Member whose local upstream it is. */
  readonly member: MemberRecord;
  /** Last reported state of the upstream; undefined while disconnected. */
  readonly state: UpstreamState | undefined;
  /**
   * Whether the member is suspected to be unreachable. Its upstream is chosen
   * only when there is no other one.
   */
  readonly isSuspect: boolean;
  /** Reported load, and the requests that were sent since the report. */
  readonly load: UpstreamLoad;
  /** Sends a request; the receiver gets one result, unless it is cancelled. */
  send(request: ForwardedRequest, receiver: ResultReceiver): RequestHandle;
}

/** Estimated load of an upstream. */
export class UpstreamLoad {
  /** Running and waiting requests in the last report. */
  reportedCount = 0;
  /** Monotonic time of the last report, in ms. */
  reportedAtMs = -Infinity;
  /** Mean run time in the last report, in ms. */
  meanRunMs = 0;
  /** Share of failed requests in the last report, from 0 to 1. */
  failureRatio = 0;
  /** Requests of this daemon that have no result yet. */
  pendingCount = 0;
  /** Requests of this daemon that were sent since the last report. */
  sentSinceReportCount = 0;

  /**
   * Replaces the reported load.
   *
   * @param report Reported load that came with a result.
   * @param nowMs Monotonic time, in ms.
   */
  update(
    [count, meanRunMs, failures]: LoadReport,
    nowMs = performance.now(),
  ): void {
    this.reportedCount = count;
    this.reportedAtMs = nowMs;
    this.meanRunMs = meanRunMs;
    this.failureRatio = failures / 255;
    this.sentSinceReportCount = 0;
  }
}
