/** State of the local upstream: the one that runs next to the daemon. */
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { Clock } from "../core/clock.ts";
import type {
  UpstreamDeparture,
  UpstreamReport,
} from "../schemas/fleet_schema.ts";
import type { Logger } from "../telemetry/logger.ts";

/** Listener for changes of the upstream's state. */
export interface UpstreamListener {
  /**
   * Called when the upstream starts to serve, or when the id, the number of
   * slots or the cold state of a serving one changes.
   */
  onServing(): void;
  /** Called when the upstream takes no new requests any more. */
  onNotServing(): void;
}

/** Options of {@link LocalUpstream}. */
export type LocalUpstreamOptions = {
  listener: UpstreamListener;
  clock: Pick<Clock, "wallMs">;
  log: Logger;
};

/**
 * Tracks whether the local upstream serves, from its announcements and
 * failures, as defined by the chart `local_upstream`.
 */
export class LocalUpstream {
  readonly #options: LocalUpstreamOptions;
  readonly #machine: StateMachine;
  #report: UpstreamReport | undefined;
  #departure: UpstreamDeparture | undefined;
  /** Monotonic time of the last report, in ms. */
  reportedAtMs = -Infinity;

  /**
   * @param options Listener, clock and logger.
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

  /** Whether the upstream has announced that it leaves. */
  get isLeaving(): boolean {
    return this.#machine.is("leaving");
  }

  /** Last upstream that has left; undefined if none has. */
  get departure(): UpstreamDeparture | undefined {
    return this.#departure;
  }

  /** Name of the chart's current state, for logs and metrics. */
  get stateName(): string {
    return this.#machine.state;
  }

  /**
   * Restores the departure of an upstream that left before this process
   * started, so that a late heartbeat does not make it serve again.
   *
   * @param departure Upstream that has left, from the store.
   */
  restoreDeparture(departure: UpstreamDeparture): void {
    this.#departure ??= departure;
    const report = this.#report;
    if (
      this.isServing && report !== undefined &&
      !this.mayServeAfterDeparture(report)
    ) {
      this.#machine.send("left");
    }
  }

  /**
   * Handles a heartbeat. It is ignored if its upstream started before that of
   * the last report, or if its sequence number is not higher than that of the
   * last report of the same start. Before the first report, a heartbeat is
   * ignored if it reports as ready an upstream that has left.
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
   * Handles the announcement that an upstream leaves. It is ignored if the last
   * report is of another upstream, or if this one is leaving already. The
   * announcement does not say which start of the upstream leaves, and the last
   * report may be of an earlier one or of a health check, so all starts up to now
   * have left.
   *
   * @param upstreamId Upstream that leaves.
   */
  markLeaving(upstreamId: string): void {
    const report = this.#report;
    if (report !== undefined && report.upstreamId !== upstreamId) {
      return;
    }
    if (this.isLeaving && this.#departure?.upstreamId === upstreamId) {
      return;
    }
    this.#recordDeparture({
      upstreamId,
      startedEpochMs: this.#options.clock.wallMs(),
    });
    this.#machine.send("left");
  }

  /** Records that the upstream is unreachable. */
  markUnreachable(): void {
    this.#machine.send("lost");
  }

  /** Records that another upstream now answers at the configured address. */
  markReplaced(): void {
    this.#machine.send("unfit");
  }

  /**
   * Guard: whether the report is of another upstream than the one that has
   * left, or of a later start of it.
   */
  mayServeAfterDeparture(report: UpstreamReport): boolean {
    return report.upstreamId !== this.#departure?.upstreamId ||
      report.startedEpochMs > this.#departure.startedEpochMs;
  }

  /** Action: stores and logs the report, and notifies the listener. */
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

  /**
   * Action: stores the report, and notifies the listener if the id, the number
   * of slots or the cold state has changed.
   */
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

  /**
   * Action: logs that the upstream takes no new requests, records its departure
   * if it is leaving, and notifies the listener.
   */
  stopServing(): void {
    const report = this.#report;
    if (this.isLeaving && report !== undefined) {
      this.#recordDeparture(report);
    }
    this.#options.log.info("Upstream takes no new requests", {
      upstreamId: report?.upstreamId,
      state: this.#machine.state,
    });
    this.#options.listener.onNotServing();
  }

  /**
   * Records the departure of an upstream. It must not replace that of a later
   * start, after which heartbeats of that start would count as those of a new one.
   */
  #recordDeparture({ upstreamId, startedEpochMs }: UpstreamDeparture): void {
    const known = this.#departure;
    const knownEpochMs = known?.upstreamId === upstreamId
      ? known.startedEpochMs
      : 0;
    this.#departure = {
      upstreamId,
      startedEpochMs: Math.max(startedEpochMs, knownEpochMs),
    };
  }

  #isOutdated(report: UpstreamReport): boolean {
    const last = this.#report;
    if (last === undefined) {
      return report.state === "ready" && !this.mayServeAfterDeparture(report);
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
