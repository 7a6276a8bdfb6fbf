/** Paths to upstreams: the one beside this daemon, or via another daemon. */
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type { LoadReport, UpstreamState } from "../schemas/link_schema.ts";

/** A request that is forwarded to an upstream. */
export type ForwardedRequest = {
  /** Chosen upstream; no other one may run the request. */
  readonly upstreamId: string;
  readonly method: string;
  /** Path with query, unchanged. */
  readonly path: string;
  /** Names and values in turn, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | null;
  /** Time until the deadline of the answer, in ms. */
  readonly remainingMs: number;
  readonly routeName: string;
  /** Time until the latency goal, in ms; negative after it. */
  readonly goalLeftMs: number;
  /** Whether it may be refused because of load; an upstream's calls may not. */
  readonly isRefusable: boolean;
  /** Pool of the instance at which the request entered. */
  readonly callerPool: string;
};

/** An answer of an upstream. */
export type UpstreamAnswer = {
  readonly status: number;
  /** Names and values in turn, without hop-by-hop headers and request id. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | null;
  /** Time at the upstream, in ms. */
  readonly runMs: number;
};

/** Failure of a request that no upstream has answered. */
export type ForwardFailure = {
  readonly kind: ErrorKind;
  /** Whether it is certain that the request did not run. */
  readonly isNotRun: boolean;
  /** Whether the request was sent to the upstream. */
  readonly hasReached: boolean;
};

/** Receives the result of a request: one call of one method. */
export interface ResultReceiver {
  /** Called with the answer of the upstream. */
  onAnswer(answer: UpstreamAnswer): void;
  /** Called when there will be no answer. */
  onFailure(failure: ForwardFailure): void;
}

/** Handle of a request that was sent. */
export interface SentRequest {
  /** Cancels the request; its receiver is not called any more. */
  cancel(): void;
}

/** Path to one upstream. */
export interface UpstreamPath {
  /** Instance beside which the upstream runs. */
  readonly member: MemberRecord;
  /** Last reported state of the upstream; undefined while disconnected. */
  readonly state: UpstreamState | undefined;
  /**
   * Whether the instance may be cut off from the network. Such a path is used
   * only when there is no other one.
   */
  readonly isSuspect: boolean;
  /** Last load report, and the requests that were sent since. */
  readonly load: PathLoad;
  /** Sends a request; the receiver gets one result, unless it is cancelled. */
  send(request: ForwardedRequest, receiver: ResultReceiver): SentRequest;
}

/** Estimated load of the upstream of a path. */
export class PathLoad {
  /** Requests that ran or waited at the upstream at the last report. */
  reportedCount = 0;
  /** Mean time of a request at the upstream, in ms. */
  meanRunMs = 0;
  /** Share of failed requests, from 0 to 1. */
  failureRatio = 0;
  /** Requests of this daemon that have no result yet. */
  pendingCount = 0;
  /** Requests of this daemon that were sent since the last report. */
  sentSinceReportCount = 0;

  /**
   * Replaces the load by that of a new report.
   *
   * @param report Load report that came with a result.
   */
  update([count, meanRunMs, failures]: LoadReport): void {
    this.reportedCount = count;
    this.meanRunMs = meanRunMs;
    this.failureRatio = failures / 255;
    this.sentSinceReportCount = 0;
  }

  /** Estimated number of requests that run or wait at the upstream. */
  get estimatedCount(): number {
    return Math.max(
      this.reportedCount + this.sentSinceReportCount,
      this.pendingCount,
    );
  }
}
