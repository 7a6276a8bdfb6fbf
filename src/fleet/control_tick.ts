/** Work of a daemon that is done once per control interval. */
import type { Stream } from "most";
import type { ControlPart } from "../core/event_loop.ts";
import { timerStream } from "../core/timer_stream.ts";
import type { LinkServer } from "../link/link_server.ts";
import type { FleetMetrics } from "../telemetry/fleet_metrics.ts";
import type { ConfigFollower } from "./config_follower.ts";
import type { DaemonLinkHost } from "./daemon_link_host.ts";
import type { EntryAdmission } from "./entry_admission.ts";
import type { MemberDirectory } from "./member_directory.ts";
import type { OutboundListener } from "./outbound_listener.ts";
import type { StatePublisher } from "./state_publisher.ts";
import type { StopSequence } from "./stop_sequence.ts";
import type { TenantAccess } from "./tenant_access.ts";
import type { UpstreamGate } from "./upstream_gate.ts";
import type { WatchElection } from "./watch_election.ts";

/** Control interval. */
const TICK_MS = 100;
/** Interval at which the latency histograms are rotated. */
const METRICS_INTERVAL_MS = 30_000;
/** A tick that is later than this shows that the process was stalled. */
const STALL_MIN_MS = 250;

/** Parts of the daemon that work once per control interval. */
export type TickedParts = {
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

/** Calls the parts in a fixed order, and notices that the process was stalled. */
export class ControlTick implements ControlPart<number> {
  readonly name = "tick";
  readonly inputs: Stream<number> = timerStream(TICK_MS);
  readonly #parts: TickedParts;
  #lastTickAtMs = performance.now();
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
    const stalledMs = this.#measureStall(nowMs);
    linkHost.tick(nowMs, stalledMs);
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

  /** Time for which the process was stalled before this tick, in ms. */
  #measureStall(nowMs: number): number {
    const lateMs = nowMs - this.#lastTickAtMs - TICK_MS;
    this.#lastTickAtMs = nowMs;
    return lateMs > STALL_MIN_MS ? lateMs : 0;
  }

  #rotateMetrics(nowMs: number): void {
    if (nowMs - this.#metricsRotatedAtMs >= METRICS_INTERVAL_MS) {
      this.#metricsRotatedAtMs = nowMs;
      this.#parts.metrics.rotate();
    }
  }
}
