/** Ways from this daemon to an upstream: beside it, or behind another daemon. */
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type { LoadReport, UpstreamState } from "../schemas/link_schema.ts";

/** A request on its way to an upstream. */
export type ForwardedRequest = {
  /** Upstream that was chosen; another one must not run the request. */
  readonly upstreamId: string;
  readonly method: string;
  /** Path with query, unchanged. */
  readonly path: string;
  /** Names and values in turn, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | null;
  /** Time that is left for the answer, in ms. */
  readonly remainingMs: number;
  readonly routeName: string;
  /** Time that is left of the latency goal, in ms; may be negative. */
  readonly goalLeftMs: number;
  /** Whether it may be refused because of load; calls further down may not. */
  readonly isRefusable: boolean;
  /** Pool of the instance where the request began. */
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

/** A request that got no answer of an upstream. */
export type ForwardFailure = {
  readonly kind: ErrorKind;
  /** Whether the request is proved not to have run. */
  readonly isNotRun: boolean;
  /** Whether it was sent to the upstream. */
  readonly hasReached: boolean;
};

/** Receives the one result of a request. */
export interface ResultReceiver {
  /** The upstream answered. */
  onAnswer(answer: UpstreamAnswer): void;
  /** No answer will come. */
  onFailure(failure: ForwardFailure): void;
}

/** A request that was handed over. */
export interface SentRequest {
  /** Ends it wherever it is; the receiver hears nothing more. */
  cancel(): void;
}

/** A way to one upstream. */
export interface UpstreamPath {
  /** Instance beside which the upstream runs. */
  readonly member: MemberRecord;
  /** Last stated state of the upstream; undefined while there is no contact. */
  readonly state: UpstreamState | undefined;
  /** Whether the other side may be cut off; it is used when no other is left. */
  readonly isSuspect: boolean;
  /** Last load report, and requests that were sent since. */
  readonly load: PathLoad;
  /** Hands a request over; the receiver gets exactly one result. */
  send(request: ForwardedRequest, receiver: ResultReceiver): SentRequest;
}

/** Load of the upstream behind a path, as this daemon knows it. */
export class PathLoad {
  /** Requests that ran or waited at the upstream at the last report. */
  reportedCount = 0;
  /** Mean time of a request at the upstream, in ms. */
  meanRunMs = 0;
  /** Share of failed requests. */
  failureRatio = 0;
  /** Requests of this daemon that have no result yet. */
  pendingCount = 0;
  /** Requests of this daemon that were sent since the last report. */
  sentSinceReportCount = 0;

  /**
   * Takes over a report.
   *
   * @param report Load that came with an answer.
   */
  update([count, meanRunMs, failures]: LoadReport): void {
    this.reportedCount = count;
    this.meanRunMs = meanRunMs;
    this.failureRatio = failures / 255;
    this.sentSinceReportCount = 0;
  }

  /** Requests that run or wait at the upstream by the present knowledge. */
  get estimatedCount(): number {
    return Math.max(
      this.reportedCount + this.sentSinceReportCount,
      this.pendingCount,
    );
  }
}
