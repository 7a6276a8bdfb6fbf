/** Work of a daemon that is done once per control interval. */
import type { Stream } from "most";
import type { ControlPart } from "../core/event_loop.ts";
import { CONTROL_TICK_MS, type InputDelay } from "../core/input_delay.ts";
import { timerStream } from "../core/timer_stream.ts";
import type { LinkServer } from "../link/link_server.ts";
import type { FleetMetrics } from "../telemetry/fleet_metrics.ts";
import type { ConfigFollower } from "./config_follower.ts";
import type { DaemonLinkHost } from "./daemon_link_host.ts";
import type { EntryAdmission } from "./entry_admission.ts";
import type { InputDelayLog } from "./input_delay_log.ts";
import type { MemberDirectory } from "./member_directory.ts";
import type { OutboundListener } from "./outbound_listener.ts";
import type { StatePublisher } from "./state_publisher.ts";
import type { StopSequence } from "./stop_sequence.ts";
import type { TenantAccess } from "./tenant_access.ts";
import type { UpstreamGate } from "./upstream_gate.ts";
import type { WatchElection } from "./watch_election.ts";

/** Interval at which the latency histograms are rotated. */
const METRICS_INTERVAL_MS = 30_000;

/** Parts of the daemon that work once per control interval. */
export type TickedParts = {
  inputDelay: InputDelay;
  inputDelayLog: InputDelayLog;
  linkHost: DaemonLinkHost;
  directory: MemberDirectory;
  linkServer: LinkServer;
  watchElection: WatchElection;
  access: TenantAccess;
  outboundListener: OutboundListener;
  gate: UpstreamGate;
  config: ConfigFollower;
  admission: EntryAdmission;
  publisher: StatePublisher;
  metrics: FleetMetrics;
  stopSequence: StopSequence;
};

/**
 * Calls the parts in a fixed order, and tells them for how long the process was
 * stalled.
 */
export class ControlTick implements ControlPart<number> {
  readonly name = "tick";
  readonly inputs: Stream<number> = timerStream(CONTROL_TICK_MS);
  readonly #parts: TickedParts;
  #metricsRotatedAtMs = performance.now();

  /**
   * @param parts Parts of the daemon.
   */
  constructor(parts: TickedParts) {
    this.#parts = parts;
  }

  /** @inheritdoc */
  handle(nowMs: number): void {
    const { linkHost, directory, linkServer, access, config } = this.#parts;
    const stalledMs = this.#parts.inputDelay.tick();
    this.#parts.inputDelayLog.tick(nowMs);
    linkHost.tick(nowMs);
    directory.tick(nowMs, stalledMs);
    linkServer.tick(nowMs, stalledMs);
    this.#parts.watchElection.tick(nowMs);
    access.currency.tick();
    access.usage.tick(nowMs);
    this.#parts.outboundListener.tick(nowMs);
    this.#parts.gate.tick(nowMs);
    if (config.routes !== undefined) {
      this.#parts.admission.step(config.routes);
    }
    this.#parts.publisher.tick(nowMs);
    this.#rotateMetrics(nowMs);
    this.#parts.stopSequence.tick(nowMs);
  }

  #rotateMetrics(nowMs: number): void {
    if (nowMs - this.#metricsRotatedAtMs >= METRICS_INTERVAL_MS) {
      this.#metricsRotatedAtMs = nowMs;
      this.#parts.metrics.rotate();
    }
  }
}
