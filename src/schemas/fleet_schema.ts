/**
 * Schemas of the daemon in `src/fleet`: settings, configuration and members.
 */
import { z } from "zod";
import { addressSchema } from "./common_schema.ts";

const nonNegativeMsSchema = z.number().min(0);

/** Schema of the settings of one daemon beside an upstream instance. */
export const fleetSettingsSchema = z.object({
  instanceName: z.string().min(1).describe("Unique name of the instance"),
  dataCentre: z.string().min(1).describe("Data centre of the instance"),
  pool: z.string().min(1).describe("Pool of the upstream beside the daemon"),
  upstream: addressSchema.describe("Address of the upstream"),
  listeners: z.object({
    outbound: addressSchema.describe(
      "Requests of callers and downstream calls of the upstream",
    ),
    link: addressSchema.describe("Links from other daemons"),
    readiness: addressSchema.describe("Readiness checks by the platform"),
    announcements: addressSchema.describe("Heartbeats of the upstream"),
    metrics: addressSchema.describe("Metrics and state for operators"),
  }),
  store: addressSchema.describe("Object store of the platform"),
  heartbeatMs: nonNegativeMsSchema.describe(
    "Interval of the upstream's heartbeats",
  ),
  drainMs: nonNegativeMsSchema
    .describe("Time within which new requests to a leaving upstream must stop"),
  stopGraceMs: nonNegativeMsSchema
    .describe("Time from SIGTERM until the platform kills the process"),
  repeatRatio: z.number().min(0).max(1)
    .describe("Retries per request of a pool, over all daemons"),
  repeatWindowMs: nonNegativeMsSchema.describe(
    "Window over which the retry ratio applies",
  ),
  repeatSlackCount: z.number().min(0)
    .describe("Retries allowed beyond the ratio, over all daemons"),
  keyRevocationMaxMs: nonNegativeMsSchema.optional().describe(
    "Time from the acceptance of a configuration until no request with a key " +
      "that it withdrew runs any more, on any daemon; without it, daemons that " +
      "do not reach the store go on with the keys that they know",
  ),
  usageCapWindowMs: z.number().positive().default(5_000)
    .describe("Sliding window over which the usage caps of tenants apply"),
  coordinatesPools: z.boolean().default(false).describe(
    "Whether this daemon derives the admission to scarce, contested pools from " +
      "their capacity and the runs that all daemons offer",
  ),
  memoryMaxBytes: z.int().positive().optional()
    .describe("Memory that the process may use"),
  descriptorsMaxCount: z.int().positive().optional()
    .describe("File descriptors that the process may open"),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]),
});

/** Settings of one daemon beside an upstream instance. */
export type FleetSettings = z.infer<typeof fleetSettingsSchema>;

/** Schema of a route of a configuration. */
export const fleetRouteSchema = z.object({
  name: z.string().min(1),
  host: z.string().min(1).describe("Value of the Host header, lower case"),
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  idempotent: z.boolean().describe("Whether a retry has no further effect"),
  timeoutMs: z.number().positive().describe("Longest time until the answer"),
  latencyGoalMs: z.number().positive()
    .describe("Latency goal: time within which an answer has its full value"),
  attemptsMax: z.int().min(1).describe(
    "Attempts of one request that may reach an upstream",
  ),
  priority: z.int().min(0).describe("Rank under overload; 0 is shed last"),
  isPublic: z.boolean().default(false)
    .describe("Whether requests need no key; relevant only with tenants"),
  targets: z.array(z.object({
    pool: z.string().min(1),
    weight: z.number().min(0),
  })).min(1).describe("Pools that share the requests by weight"),
});

/** A route of a configuration. */
export type FleetRoute = z.infer<typeof fleetRouteSchema>;

/** Schema of a tenant, whose callers identify themselves with its keys. */
export const fleetTenantSchema = z.object({
  name: z.string().min(1),
  keys: z.array(z.string().min(1)),
  priority: z.int().min(0).optional()
    .describe("Rank under overload in place of the route's; 0 is shed last"),
  ratePerS: z.number().min(0).default(0)
    .describe("Usage cap in requests a second over all daemons; 0 for none"),
  burstCount: z.number().min(0).default(0)
    .describe("Requests that the usage cap allows at once beyond its rate"),
});

/** A tenant, whose callers identify themselves with its keys. */
export type FleetTenant = z.infer<typeof fleetTenantSchema>;

/** Schema of a whole configuration. */
export const fleetConfigSchema = z.object({
  version: z.number().describe("Increases with each accepted configuration"),
  routes: z.array(fleetRouteSchema),
  tenants: z.array(fleetTenantSchema).optional().describe(
    "Requests on routes that are not public need a key of one of these; " +
      "without the list no request needs a key",
  ),
  pools: z.array(z.object({
    name: z.string().min(1),
    healthPath: z.string(),
    connectionsMaxCount: z.int().min(1),
  })),
  limits: z.object({
    headerMaxBytes: z.int().min(1),
    bodyMaxBytes: z.int().min(0),
    headerTimeoutMs: z.number().positive(),
    idleTimeoutMs: z.number().positive(),
  }),
});

/** A whole configuration. */
export type FleetConfig = z.infer<typeof fleetConfigSchema>;

/** Schema of a planned departure of an upstream, acknowledged by its daemon. */
export const upstreamDepartureSchema = z.object({
  upstreamId: z.string().min(1),
  startedEpochMs: z.number()
    .describe(
      "Latest start of the upstream that may have left, in ms since the epoch; " +
        "the same id may serve again after a later start",
    ),
});

/** Planned departure of an upstream, acknowledged by its daemon. */
export type UpstreamDeparture = z.infer<typeof upstreamDepartureSchema>;

/** Schema of a daemon's entry in the platform's object store. */
export const memberRecordSchema = z.object({
  name: z.string().min(1),
  dataCentre: z.string().min(1),
  pool: z.string().min(1),
  link: addressSchema,
  leftUpstream: upstreamDepartureSchema.optional(),
});

/** A daemon's entry in the platform's object store. */
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/** Content of a heartbeat of an upstream. */
export type UpstreamReport = {
  readonly upstreamId: string;
  readonly pool: string;
  readonly slotsCount: number;
  readonly state: "ready" | "draining";
  /** Increases with each report; starts again when the upstream restarts. */
  readonly sequence: number;
  /** Start of the upstream, in ms since the epoch; 0 if it is not known. */
  readonly startedEpochMs: number;
  /** Remaining time for which the upstream is slow after its start, in ms. */
  readonly coldRemainingMs: number;
};
