/** Current values of the gauges of a daemon. */
import type { InputDelay } from "../core/input_delay.ts";
import type { StartQueue } from "../core/start_queue.ts";
import type { CallGraph } from "../decisions/routing/call_graph.ts";
import type { FleetGauges } from "../telemetry/fleet_metrics.ts";
import type { CallerMemory } from "../decisions/memory/caller_memory.ts";
import type { ConfigFollower } from "./config_follower.ts";
import type { CurrencyTracker } from "./currency_tracker.ts";
import type { FleetPlatform } from "./fleet_platform.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import type { MemberDirectory } from "./member_directory.ts";
import type { UpstreamGate } from "./upstream_gate.ts";
import type { FleetUsageCaps } from "./usage_caps.ts";
import type { WatchElection } from "./watch_election.ts";

/** Parts of the daemon whose state is measured. */
export type MeasuredParts = {
  config: ConfigFollower;
  upstream: LocalUpstream;
  directory: MemberDirectory;
  gate: UpstreamGate;
  watchElection: WatchElection;
  platform: FleetPlatform;
  graph: CallGraph;
  currency: CurrencyTracker;
  usage: FleetUsageCaps;
  callerMemory: CallerMemory;
  inputDelay: InputDelay;
  startQueue: StartQueue;
  /** Number of open connections of callers. */
  callerConnectionsCount: () => number;
};

/**
 * Reads the gauges.
 *
 * @param parts Parts of the daemon.
 * @returns Present values.
 */
export function readGauges(parts: MeasuredParts): FleetGauges {
  const { config, upstream, directory, gate, watchElection } = parts;
  const { platform, graph, currency, usage } = parts;
  const nowMs = performance.now();
  return {
    configVersion: config.version,
    configAgeMs: Math.round(nowMs - config.appliedAtMs),
    upstreamReportAgeMs: Math.round(nowMs - upstream.reportedAtMs),
    linksUpCount: [...directory.links].filter(({ isUp }) => isUp).length,
    membersCount: directory.membersCount,
    runningCount: gate.runningCount,
    waitingCount: gate.waitingCount,
    slotsLimitCount: gate.limitCount,
    learnedLimitCount: gate.capacity.limitCount,
    upstreamSlowdownRatio:
      Math.round(gate.capacity.slowdownRatio(nowMs) * 100) /
      100,
    upstreamRefusedRatio: gate.refusedRatio,
    storeReachable: platform.store.isReachable ? 1 : 0,
    storeWatching: watchElection.isWatching ? 1 : 0,
    storeCallsCount: platform.store.callsCount,
    storeEra: platform.store.era,
    callEdgesCount: graph.edgesCount,
    currencyAgeMs: Math.round(currency.ageMs),
    ...usage.gauges,
    logLinesDroppedCount: platform.droppedLinesCount(),
    callerHeldBytes: parts.callerMemory.heldBytes,
    callerHeldMaxBytes: parts.callerMemory.maxBytes,
    callerConnectionsCount: parts.callerConnectionsCount(),
    inputDelayMs: Math.round(parts.inputDelay.measureMs()),
    startsDelayedCount: parts.startQueue.delayedCount,
    startsDroppedCount: parts.startQueue.droppedCount,
  };
}
