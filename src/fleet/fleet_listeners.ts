/** Listeners of a daemon on a deployment platform. */
import type { LinkServer } from "../link/link_server.ts";
import type { FleetSettings } from "../schemas/fleet_schema.ts";
import type { FleetMetrics } from "../telemetry/fleet_metrics.ts";
import { ControlListener } from "./control_listener.ts";
import type { FleetDaemonLifecycle } from "./fleet_daemon_lifecycle.ts";
import type { OutboundListener } from "./outbound_listener.ts";
import type { UpstreamAnnouncements } from "./upstream_announcements.ts";

/** The listeners by what they serve. */
export type FleetListenersOptions = {
  /** Links from other daemons. */
  link: LinkServer;
  /** Requests of callers and downstream calls of the upstream. */
  outbound: OutboundListener;
  /** Readiness checks by the platform. */
  readiness: ControlListener;
  /** Heartbeats of the upstream. */
  announcements: ControlListener;
  /** Metrics and state for operators. */
  metrics: ControlListener;
};

/** Binds and closes all listeners of a daemon together. */
export class FleetListeners {
  readonly #options: FleetListenersOptions;

  /**
   * @param options The listeners.
   */
  constructor(options: FleetListenersOptions) {
    this.#options = options;
  }

  /**
   * Binds all listeners.
   *
   * @param addresses Address of each listener.
   * @throws When an address cannot be bound.
   */
  async listen(addresses: FleetSettings["listeners"]): Promise<void> {
    const { link, outbound, readiness, announcements, metrics } = this.#options;
    await Promise.all([
      link.listen(addresses.link),
      outbound.listen(addresses.outbound),
      readiness.listen(addresses.readiness),
      announcements.listen(addresses.announcements),
      metrics.listen(addresses.metrics),
    ]);
  }

  /** Closes all listeners and their connections. */
  close(): void {
    const { link, outbound, readiness, announcements, metrics } = this.#options;
    outbound.close();
    readiness.close();
    announcements.close();
    metrics.close();
    link.close();
  }
}

/** Parts of the daemon that its listeners serve. */
export type ServedParts = Pick<FleetListenersOptions, "link" | "outbound"> & {
  lifecycle: FleetDaemonLifecycle;
  announcements: UpstreamAnnouncements;
  metrics: FleetMetrics;
};

/**
 * Creates the listeners of a daemon.
 *
 * @param parts What they serve.
 * @returns Listeners that are not bound yet.
 */
export function createFleetListeners(
  { link, outbound, lifecycle, announcements, metrics }: ServedParts,
): FleetListeners {
  return new FleetListeners({
    link,
    outbound,
    readiness: new ControlListener(() => ({
      status: lifecycle.isReady ? 200 : 503,
      body: JSON.stringify({ state: lifecycle.stateName }),
    })),
    announcements: new ControlListener((request) =>
      announcements.handle(request)
    ),
    metrics: new ControlListener(async () => ({
      status: 200,
      contentType: "text/plain; version=0.0.4",
      body: await metrics.text(),
    })),
  });
}
