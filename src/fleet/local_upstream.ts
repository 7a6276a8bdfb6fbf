/** What the daemon believes of the upstream beside it. */
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { LeftUpstream, UpstreamReport } from "../schemas/fleet_schema.ts";
import type { Logger } from "../telemetry/logger.ts";

/** What follows from a changed belief. */
export interface UpstreamListener {
  /** The upstream takes requests, or its details have changed. */
  onServing(): void;
  /** The upstream takes no new requests. */
  onNotServing(): void;
}

/** Options of {@link LocalUpstream}. */
export type LocalUpstreamOptions = {
  listener: UpstreamListener;
  log: Logger;
};

/** Runs the chart `local_upstream`. */
export class LocalUpstream {
  readonly #options: LocalUpstreamOptions;
  readonly #machine: StateMachine;
  #report: UpstreamReport | undefined;
  #leftUpstream: LeftUpstream | undefined;
  /** Monotonic time of the last report, in ms. */
  reportedAtMs = -Infinity;

  /**
   * @param options Listener and log.
   */
  constructor(options: LocalUpstreamOptions) {
    this.#options = options;
    this.#machine = new StateMachine(LOCAL_UPSTREAM_CHART, this);
  }

  /** Last accepted report; undefined before the first. */
  get report(): UpstreamReport | undefined {
    return this.#report;
  }

  /** Whether the upstream takes new requests. */
  get isServing(): boolean {
    return this.#machine.is("serving");
  }

  /** Whether the upstream has said that it leaves. */
  get isLeaving(): boolean {
    return this.#machine.is("leaving");
  }

  /** Upstream whose leaving was acknowledged; undefined without one. */
  get leftUpstream(): LeftUpstream | undefined {
    return this.#leftUpstream;
  }

  /** Name of the chart's state, for logs and metrics. */
  get stateName(): string {
    return this.#machine.state;
  }

  /**
   * Remembers an upstream whose leaving was acknowledged before this process
   * started, so that a late heartbeat does not bring it back.
   *
   * @param left Upstream that has left.
   */
  restoreLeftUpstream(left: LeftUpstream): void {
    this.#leftUpstream ??= left;
    const report = this.#report;
    if (
      this.isServing && report !== undefined && !this.isLaterStart(report)
    ) {
      this.#machine.send("left");
    }
  }

  /**
   * Takes a heartbeat. Reports that are older than the last one of the same
   * start, or of an earlier start, are ignored.
   *
   * @param report Decoded heartbeat.
   */
  handleHeartbeat(report: UpstreamReport): void {
    if (this.#isOutdated(report)) {
      this.#options.log.info("Outdated heartbeat ignored", {
        upstreamId: report.upstreamId,
        sequence: report.sequence,
      });
      return;
    }
    this.reportedAtMs = performance.now();
    if (report.state === "ready") {
      this.#machine.send("reportedReady", report);
      return;
    }
    this.#report = report;
    this.#machine.send("reportedDraining", report);
  }

  /**
   * Takes the announcement that an upstream leaves.
   *
   * @param upstreamId Upstream that leaves.
   */
  markLeaving(upstreamId: string): void {
    const report = this.#report;
    if (report !== undefined && report.upstreamId !== upstreamId) {
      return;
    }
    this.#leftUpstream = {
      upstreamId,
      startedEpochMs: report?.startedEpochMs ?? 0,
    };
    this.#machine.send("left");
  }

  /** Records that the upstream cannot be reached. */
  markUnreachable(): void {
    this.#machine.send("lost");
  }

  /** Records that another upstream answers at the address. */
  markReplaced(): void {
    this.#machine.send("unfit");
  }

  /** Guard: the report is of a start after the one that has left. */
  isLaterStart(report: UpstreamReport): boolean {
    return report.upstreamId !== this.#leftUpstream?.upstreamId ||
      report.startedEpochMs > this.#leftUpstream.startedEpochMs;
  }

  /** Action: the upstream takes requests. */
  startServing(report: UpstreamReport): void {
    this.#report = report;
    this.#options.log.info("Upstream serves", {
      upstreamId: report.upstreamId,
      slotsCount: report.slotsCount,
      sequence: report.sequence,
      coldRemainingMs: report.coldRemainingMs,
    });
    this.#options.listener.onServing();
  }

  /** Action: takes over details of a report. */
  refresh(report: UpstreamReport): void {
    const last = this.#report;
    this.#report = report;
    if (
      last?.upstreamId !== report.upstreamId ||
      last.slotsCount !== report.slotsCount ||
      (last.coldRemainingMs > 0) !== (report.coldRemainingMs > 0)
    ) {
      this.#options.listener.onServing();
    }
  }

  /** Action: the upstream takes no new requests. */
  stopServing(): void {
    const report = this.#report;
    if (this.isLeaving && report !== undefined) {
      const { upstreamId, startedEpochMs } = report;
      this.#leftUpstream = { upstreamId, startedEpochMs };
    }
    this.#options.log.info("Upstream takes no new requests", {
      upstreamId: report?.upstreamId,
      state: this.#machine.state,
    });
    this.#options.listener.onNotServing();
  }

  #isOutdated(report: UpstreamReport): boolean {
    const last = this.#report;
    if (last === undefined) {
      return report.state === "ready" && !this.isLaterStart(report);
    }
    if (report.startedEpochMs !== last.startedEpochMs) {
      return report.startedEpochMs < last.startedEpochMs;
    }
    return report.upstreamId === last.upstreamId &&
      report.sequence <= last.sequence;
  }
}

const LOCAL_UPSTREAM_CHART = loadChart(
  "local_upstream",
  LocalUpstream.prototype,
);
