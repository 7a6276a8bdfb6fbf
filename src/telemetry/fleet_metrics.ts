/** Metrics of a daemon on a deployment platform, in Prometheus text format. */
import { Counter, Gauge, Registry } from "prom-client";
import type { ErrorKind } from "../errors/error_kinds.ts";
import { CALLER_REFUSALS, type CallerRefusal } from "./caller_refusals.ts";
import { LatencyHistogram } from "./latency_histogram.ts";
import { summaryLines } from "./summary_lines.ts";
import { TenantLatencies } from "./tenant_latencies.ts";

/** Current values of the gauges of a daemon on a deployment platform. */
export type FleetGauges = {
  readonly configVersion: number;
  readonly configAgeMs: number;
  readonly upstreamReportAgeMs: number;
  readonly linksUpCount: number;
  readonly membersCount: number;
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly slotsLimitCount: number;
  /** Requests that the own upstream handles well, from its run times. */
  readonly learnedLimitCount: number;
  /** Present run time at the own upstream, relative to the usual one. */
  readonly upstreamSlowdownRatio: number;
  readonly upstreamRefusedRatio: number;
  /** 1 when the last call to the store was answered, 0 otherwise. */
  readonly storeReachable: number;
  /** 1 when the daemon watches the configuration closely, 0 otherwise. */
  readonly storeWatching: number;
  readonly storeCallsCount: number;
  /** Number of restores of the store, as its answers name it. */
  readonly storeEra: number;
  /** Pairs of a calling and a called route that are known, here or at peers. */
  readonly callEdgesCount: number;
  /** Infinite before the first proof. */
  readonly currencyAgeMs: number;
  /** Requests that the usage caps of tenants refused since the start. */
  readonly usageCapRefusalsCount: number;
  readonly usageTokensRequestedCount: number;
  /** Tokens that this daemon has granted as an owner since the start. */
  readonly usageTokensGrantedCount: number;
  readonly usageTokensReturnedCount: number;
  readonly usageOwnersCount: number;
  readonly usageTenantsOwnedCount: number;
  readonly logLinesDroppedCount: number;
  /** Bytes that are held for callers, or that they have announced. */
  readonly callerHeldBytes: number;
  /** Bound of `callerHeldBytes`. */
  readonly callerHeldMaxBytes: number;
  readonly callerConnectionsCount: number;
  /** Longest time for which input that is read now may have waited, in ms. */
  readonly inputDelayMs: number;
  /** Requests that were started after further input had been read. */
  readonly startsDelayedCount: number;
  /** Those among them whose callers had left. */
  readonly startsDroppedCount: number;
};

/** Current admission of a pool that all daemons coordinate. */
export type PoolGauges = {
  readonly pool: string;
  /** Number of admitted classes, with a fraction for a part of one. */
  readonly level: number;
  readonly capacityPerS: number;
  /** Offered runs of all daemons and classes. */
  readonly offeredPerS: number;
};

const POOL_GAUGE_HELP: Readonly<
  Record<Exclude<keyof PoolGauges, "pool">, string>
> = {
  level: "Admitted priority classes of a coordinated pool",
  capacityPerS: "Runs per second that the upstreams of a pool can run",
  offeredPerS: "Runs per second that callers of all daemons offer to a pool",
};

const GAUGE_HELP: Readonly<Record<keyof FleetGauges, string>> = {
  configVersion: "Version of the configuration in force",
  configAgeMs: "Time since the configuration was applied",
  upstreamReportAgeMs: "Age of the upstream's last heartbeat",
  linksUpCount: "Links to other daemons that are up",
  membersCount: "Known members, this one included",
  runningCount: "Requests that run at the own upstream",
  waitingCount: "Requests that wait for the own upstream",
  slotsLimitCount: "Requests that may run at the own upstream",
  learnedLimitCount: "Requests that the own upstream handles well at once",
  upstreamSlowdownRatio: "Run time at the own upstream relative to the usual",
  upstreamRefusedRatio: "Share of the requests that the own upstream refuses",
  storeReachable: "1 when the last call to the store was answered",
  storeWatching: "1 when the daemon watches the configuration closely",
  storeCallsCount: "Calls to the store since the start",
  storeEra: "Rises when the store is restored from a copy",
  callEdgesCount: "Known pairs of a calling and a called route",
  currencyAgeMs: "Time since the configuration was surely the newest",
  usageCapRefusalsCount: "Requests refused by usage caps since the start",
  usageTokensRequestedCount: "Usage tokens asked for since the start",
  usageTokensGrantedCount: "Usage tokens granted to daemons since the start",
  usageTokensReturnedCount: "Usage tokens returned unused since the start",
  usageOwnersCount: "Daemons that own usage caps for this one",
  usageTenantsOwnedCount: "Tenants whose usage cap this daemon owns",
  logLinesDroppedCount: "Log lines that nobody read in time",
  callerHeldBytes: "Bytes that are held for callers, or that they announced",
  callerHeldMaxBytes: "Bytes from which on callers are refused",
  callerConnectionsCount: "Open connections of callers",
  inputDelayMs: "Longest time for which unread input may have waited",
  startsDelayedCount: "Requests started after further input was read",
  startsDroppedCount: "Delayed requests not started: their callers had left",
};

/** A finished request, besides its route and outcome. */
export type FinishedRequest = {
  /** Time from arrival to end, in ms. */
  readonly durationMs: number;
  readonly priority: number;
  /** Undefined for calls and requests without a tenant. */
  readonly tenantName: string | undefined;
};

/** Maximum number of routes with their own series; all others share one. */
const ROUTES_MAX_COUNT = 64;
const OTHER_ROUTES = "other_routes";

function gaugeName(field: string): string {
  const words = field.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
  return `goldcrest_fleet_${words}`;
}

/**
 * Records the outcome and latency of finished requests by route, and writes
 * them with the gauges.
 *
 * @example
 * metrics.record("r-1", "answered 200", {
 *   durationMs: 31.2,
 *   priority: 0,
 *   tenantName: "amber",
 * });
 * await metrics.text();
 */
export class FleetMetrics {
  readonly #registry = new Registry();
  readonly #counts = new Map<string, Map<string, number>>();
  readonly #latencies = new Map<string, LatencyHistogram>();
  readonly #tenants = new TenantLatencies();
  readonly #credentialRefusals: Counter;
  readonly #readGauges: () => FleetGauges;
  readonly #gauges = new Map<keyof FleetGauges, Gauge>();

  /**
   * @param readGauges Reads the current values of the gauges.
   * @param refusalsCount Returns how often callers were refused for a reason.
   * @param readPools Reads the current values of the coordinated pools.
   */
  constructor(
    readGauges: () => FleetGauges,
    refusalsCount: (reason: CallerRefusal) => number = () => 0,
    readPools: () => readonly PoolGauges[] = () => [],
  ) {
    this.#readGauges = readGauges;
    new Counter({
      name: "goldcrest_fleet_callers_refused_total",
      help: "Callers refused or closed to protect the process",
      labelNames: ["reason"],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const reason of CALLER_REFUSALS) {
          this.inc({ reason }, refusalsCount(reason));
        }
      },
    });
    for (const field of Object.keys(GAUGE_HELP) as (keyof FleetGauges)[]) {
      const gauge = new Gauge({
        name: gaugeName(field),
        help: GAUGE_HELP[field],
        registers: [this.#registry],
      });
      this.#gauges.set(field, gauge);
    }
    for (const [field, help] of Object.entries(POOL_GAUGE_HELP)) {
      new Gauge({
        name: gaugeName(`pool${field[0]!.toUpperCase()}${field.slice(1)}`),
        help,
        labelNames: ["pool"],
        registers: [this.#registry],
        collect() {
          this.reset();
          for (const gauges of readPools()) {
            this.set(
              { pool: gauges.pool },
              gauges[field as keyof typeof POOL_GAUGE_HELP],
            );
          }
        },
      });
    }
    this.#credentialRefusals = new Counter({
      name: "goldcrest_fleet_credential_refusals_total",
      help: "Requests that were refused because of their key or tenant",
      labelNames: ["kind"],
      registers: [this.#registry],
    });
    const counts = this.#counts;
    new Counter({
      name: "goldcrest_fleet_requests_total",
      help: "Finished requests that began at this daemon",
      labelNames: ["route", "outcome"],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const [route, outcomes] of counts) {
          for (const [outcome, count] of outcomes) {
            this.inc({ route, outcome }, count);
          }
        }
      },
    });
  }

  /**
   * Records a finished request.
   *
   * @param routeName Route of the request.
   * @param outcome How the request ended: `answered STATUS`, `cancelled` or the
   *   kind of the error.
   * @param request Time, tenant and priority of the request.
   */
  record(
    routeName: string,
    outcome: string,
    { durationMs, priority, tenantName }: FinishedRequest,
  ): void {
    const route = this.#routeLabel(routeName);
    const outcomes = this.#counts.get(route) ?? new Map<string, number>();
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    this.#counts.set(route, outcomes);
    const latency = this.#latencies.get(route) ?? new LatencyHistogram();
    latency.record(durationMs);
    this.#latencies.set(route, latency);
    if (tenantName !== undefined) {
      this.#tenants.record(tenantName, priority, durationMs);
    }
  }

  /**
   * Counts a request that was refused because of its credential.
   *
   * @param kind Kind of the refusal.
   */
  recordCredentialRefusal(kind: ErrorKind): void {
    this.#credentialRefusals.inc({ kind });
  }

  /** Starts a new interval of the latency quantiles. */
  rotate(): void {
    for (const latency of this.#latencies.values()) {
      latency.rotate();
    }
    this.#tenants.rotate();
  }

  /**
   * Writes all metrics.
   *
   * @returns Prometheus text format.
   */
  async text(): Promise<string> {
    const values = this.#readGauges();
    for (const [field, gauge] of this.#gauges) {
      gauge.set(values[field]);
    }
    const registered = await this.#registry.metrics();
    return `${registered}\n${this.#summaries()}`;
  }

  #summaries(): string {
    const name = "goldcrest_fleet_request_latency_ms";
    const lines = [
      `# HELP ${name} Time from arrival to end`,
      `# TYPE ${name} summary`,
    ];
    for (const [route, latency] of this.#latencies) {
      lines.push(...summaryLines(name, `route="${route}"`, latency.summary()));
    }
    return `${[...lines, ...this.#tenants.lines()].join("\n")}\n`;
  }

  #routeLabel(routeName: string): string {
    return this.#counts.has(routeName) || this.#counts.size < ROUTES_MAX_COUNT
      ? routeName
      : OTHER_ROUTES;
  }
}
