/** Creates the parts of a daemon that serve its local upstream. */
import { SystemClock } from "../core/clock.ts";
import type { StartQueue } from "../core/start_queue.ts";
import type { CallObserver } from "../decisions/routing/call_observer.ts";
import type { FleetSettings } from "../schemas/fleet_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { FleetPlatform } from "./fleet_platform.ts";
import { LocalUpstream } from "./local_upstream.ts";
import { UpstreamGate } from "./upstream_gate.ts";
import { UpstreamHttpClient } from "./upstream_http_client.ts";
import type { SignalsHandler } from "./upstream_signals.ts";

/** Options of {@link createUpstreamParts}. */
export type UpstreamPartsOptions = {
  settings: FleetSettings;
  platform: FleetPlatform;
  observer: CallObserver;
  startQueue: StartQueue;
  decisions: DecisionLog;
  log: Logger;
  /** Maximum number of connections to the upstream. */
  connectionsMaxCount: number;
  isIdempotent: (routeName: string) => boolean;
  onSignals: SignalsHandler;
  /** Called when the upstream has begun or stopped to take requests. */
  onServingChanged: () => void;
};

/** Parts that serve the local upstream. */
export type UpstreamParts = {
  readonly upstream: LocalUpstream;
  readonly client: UpstreamHttpClient;
  readonly gate: UpstreamGate;
};

/**
 * Creates the parts that serve the local upstream.
 *
 * @param options Settings, platform and callbacks.
 * @returns State, HTTP client and gate of the upstream, connected.
 */
export function createUpstreamParts(
  options: UpstreamPartsOptions,
): UpstreamParts {
  const { settings, platform, onServingChanged, log } = options;
  const upstream = new LocalUpstream({
    log,
    clock: new SystemClock(),
    listener: {
      onServing: () => {
        gate.updateLimit();
        onServingChanged();
      },
      onNotServing: () => {
        gate.refuseWaiting();
        onServingChanged();
      },
    },
  });
  const client = new UpstreamHttpClient(settings.upstream, platform.headers, {
    connectionsMaxCount: options.connectionsMaxCount,
    isIdempotent: options.isIdempotent,
    onMisdirected: () => upstream.markReplaced(),
    onSignals: options.onSignals,
  });
  const gate = new UpstreamGate({
    upstream,
    client,
    heartbeatMs: settings.heartbeatMs,
    observer: options.observer,
    startQueue: options.startQueue,
    decisions: options.decisions,
    log,
    requestIdHeader: platform.headers.requestId,
    tenantHeader: platform.headers.tenant,
  });
  return { upstream, client, gate };
}
