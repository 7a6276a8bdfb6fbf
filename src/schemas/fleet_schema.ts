/** Schemas of a daemon that runs on a platform: settings, configuration, members. */
import { z } from "zod";
import { addressSchema } from "./common_schema.ts";

const durationSchema = z.number().min(0);

/** Schema of the settings of one daemon beside an upstream instance. */
export const fleetSettingsSchema = z.object({
  instanceName: z.string().min(1).describe("Unique name of the instance"),
  dataCentre: z.string().min(1).describe("Data centre of the instance"),
  pool: z.string().min(1).describe("Pool of the upstream beside the daemon"),
  upstream: addressSchema.describe("Address of the upstream"),
  listeners: z.object({
    outbound: addressSchema.describe("Requests of callers and of the upstream"),
    link: addressSchema.describe("Links from other daemons"),
    readiness: addressSchema.describe("Readiness checks by the platform"),
    announcements: addressSchema.describe("Heartbeats of the upstream"),
    metrics: addressSchema.describe("Metrics and state for operators"),
  }),
  store: addressSchema.describe("Object store of the platform"),
  heartbeatMs: durationSchema.describe("Interval of the upstream's heartbeats"),
  drainMs: durationSchema
    .describe("Time within which new requests to a leaving upstream must stop"),
  stopGraceMs: durationSchema
    .describe("Time from SIGTERM until the platform kills the process"),
  repeatRatio: z.number().min(0).max(1)
    .describe("Repeated requests per request of a pool, over all daemons"),
  repeatWindowMs: durationSchema.describe("Window of the repeat ratio"),
  repeatSlackCount: z.number().min(0)
    .describe("Repeated requests allowed beyond the ratio, over all daemons"),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]),
});

/** Settings of one daemon beside an upstream instance. */
export type FleetSettings = z.infer<typeof fleetSettingsSchema>;

/** Schema of a route of the configuration in force. */
export const fleetRouteSchema = z.object({
  name: z.string().min(1),
  host: z.string().min(1).describe("Value of the Host header, lower case"),
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  idempotent: z.boolean().describe("Whether repeating a request is harmless"),
  timeoutMs: z.number().positive().describe("Longest time until the answer"),
  latencyGoalMs: z.number().positive()
    .describe("Time within which an answer has its full value"),
  attemptsMax: z.int().min(1).describe("Upstreams that one request may reach"),
  priority: z.int().min(0).describe("Rank under overload; 0 is shed last"),
  targets: z.array(z.object({
    pool: z.string().min(1),
    weight: z.number().min(0),
  })).min(1).describe("Pools that share the requests by weight"),
});

/** A route of the configuration in force. */
export type FleetRoute = z.infer<typeof fleetRouteSchema>;

/** Schema of a whole configuration. */
export const fleetConfigSchema = z.object({
  version: z.number().describe("Increases with each accepted configuration"),
  routes: z.array(fleetRouteSchema),
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

/** Schema of the departure of an upstream that its daemon has acknowledged. */
export const upstreamDepartureSchema = z.object({
  upstreamId: z.string().min(1),
  startedEpochMs: z.number()
    .describe(
      "Start of the upstream; the same id may serve again after a later start",
    ),
});

/** Departure of an upstream that its daemon has acknowledged. */
export type UpstreamDeparture = z.infer<typeof upstreamDepartureSchema>;

/** Schema of a daemon's entry in the store. */
export const memberRecordSchema = z.object({
  name: z.string().min(1),
  dataCentre: z.string().min(1),
  pool: z.string().min(1),
  link: addressSchema,
  leftUpstream: upstreamDepartureSchema.optional(),
});

/** A daemon's entry in the store. */
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/** State that an upstream reports in a heartbeat. */
export type UpstreamReport = {
  readonly upstreamId: string;
  readonly pool: string;
  readonly slotsCount: number;
  readonly state: "ready" | "draining";
  /** Increases with each report until the upstream restarts. */
  readonly sequence: number;
  /** Start of the upstream, in ms since the epoch. */
  readonly startedEpochMs: number;
  /** Remaining time for which the upstream is slow after its start, in ms. */
  readonly coldRemainingMs: number;
};
