/** Creates the outbound service of a daemon from its other parts. */
import { RetryBudget } from "../decisions/retries/retry_budget.ts";
import type { FleetSettings } from "../schemas/fleet_schema.ts";
import type { FleetMetrics } from "../telemetry/fleet_metrics.ts";
import { CallParents } from "./call_parents.ts";
import type { FleetPlatform } from "./fleet_platform.ts";
import type { ExchangeParts } from "./exchange_parts.ts";
import type { MemberDirectory } from "./member_directory.ts";
import {
  OutboundService,
  type OutboundServiceParts,
} from "./outbound_service.ts";
import type { TenantAccess } from "./tenant_access.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Parts of the daemon that {@link createOutboundService} connects. */
export type OutboundServiceSources =
  & Pick<
    OutboundServiceParts,
    | "config"
    | "graph"
    | "observer"
    | "admission"
    | "heldBytes"
    | "random"
  >
  & Pick<ExchangeParts, "channels" | "decisions">
  & {
    settings: FleetSettings;
    platform: FleetPlatform;
    gate: UpstreamGate;
    access: TenantAccess;
    directory: MemberDirectory;
    metrics: () => FleetMetrics;
  };

/**
 * Creates the outbound service of a daemon.
 *
 * @param sources Settings, platform and parts of the daemon.
 * @returns Service for the requests of the outbound listener.
 */
export function createOutboundService(
  sources: OutboundServiceSources,
): OutboundService {
  const { settings, platform, access, directory, metrics } = sources;
  const { channels, decisions, graph, admission, gate, ...others } = sources;
  const { repeatRatio, repeatWindowMs, repeatSlackCount, pool } = settings;
  return new OutboundService({
    ...others,
    names: platform.headers,
    decodeParentId: platform.decodeParentId,
    callParents: new CallParents({
      decodeParentId: platform.decodeParentId,
      gate,
      graph,
      observer: sources.observer,
    }),
    graph,
    admission,
    authenticator: access.authenticator,
    exchange: {
      channels,
      budget: new RetryBudget({
        ratio: repeatRatio,
        windowMs: repeatWindowMs,
        slackCount: repeatSlackCount,
      }),
      decisions,
      callerPool: pool,
      requestIdHeader: platform.headers.requestId,
      daemonsCount: () => directory.membersCount,
      runsPerRequest: (routeName) => graph.totalRunsOf(routeName),
      isShedding: (route) => admission.isShedding(route),
      isRefusing: (name) => admission.isRefusing(name),
      usage: access.usage,
      recheckKey: (request) => access.authenticator.recheck(request),
      onEnd: ({ route, arrivedAtMs, tenantName, priority, isCall }, outcome) =>
        metrics().record(route.name, outcome, {
          durationMs: performance.now() - arrivedAtMs,
          priority,
          tenantName: isCall ? undefined : tenantName,
        }),
    },
  });
}
