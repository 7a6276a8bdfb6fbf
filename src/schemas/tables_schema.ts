/** Schemas of the two tables that operators write. */
import { z } from "zod";
import {
  countSchema,
  durationMsSchema,
  importanceClassSchema,
  nameSchema,
  ratioSchema,
} from "./common_schema.ts";

const rulesSchema = z.strictObject({
  overloadPreference: ratioSchema.default(0.5)
    .describe("0 prefers goodput, 1 prefers fast recovery"),
  retryRatio: z.number().min(0).max(0.1).default(0.1)
    .describe("Retries per original request over 10 s"),
  clockSkewMaxMs: durationMsSchema.default(2_000)
    .describe("Largest difference between clocks that keyed requests allow"),
});

const branchBoundsSchema = z.strictObject({
  classes: z.array(importanceClassSchema).default([])
    .describe("Classes that a branch may give the route"),
  timeoutMsMin: durationMsSchema.optional()
    .describe("Shortest timeout that a branch may set"),
  timeoutMsMax: durationMsSchema.optional()
    .describe("Longest timeout that a branch may set"),
});

/** Schema of one entry of the table of routes. */
export const routeSchema = z.strictObject({
  match: z.strictObject({
    method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])
      .describe("Method of the calls"),
    pathPrefix: z.string().startsWith("/").max(1024)
      .describe("Prefix of the calls' paths; the longest match applies"),
  }),
  pool: nameSchema.describe("Pool that serves the calls"),
  class: importanceClassSchema.describe("Importance under overload"),
  idempotent: z.boolean().describe(
    "Whether a retry of a call has no further effect",
  ),
  keys: z.enum(["none", "optional", "required"]).default("none")
    .describe("Whether callers send an Idempotency-Key header"),
  timeoutMs: durationMsSchema.default(10_000)
    .describe(
      "Longest time until the answer's head, unless the caller allows less",
    ),
  idleTimeoutMs: durationMsSchema.default(30_000)
    .describe("Longest pause within an answer's body"),
  attemptsMax: z.int().min(1).max(5).default(3)
    .describe(
      "Largest number of attempts, counted over the whole chain of calls",
    ),
  bodyMaxBytes: z.int().min(0).max(1_073_741_824).default(1_048_576)
    .describe("Largest request body"),
  branchBounds: branchBoundsSchema.optional()
    .describe("Settings that branches may change; by default none"),
});

const tenantSchema = z.strictObject({
  branch: nameSchema.optional().describe("Branch that the tenant belongs to"),
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, "Must be 64 hex digits")
    .describe("Digest of the tenant's token"),
  weight: z.number().min(0.01).max(100).default(1)
    .describe("Share under overload relative to other tenants"),
});

const branchSchema = z.strictObject({
  routes: z.record(
    nameSchema,
    z.strictObject({
      class: importanceClassSchema.optional()
        .describe("Class for the branch, within the route's bounds"),
      timeoutMs: durationMsSchema.optional()
        .describe("Timeout for the branch, within the route's bounds"),
    }),
  ).default({}),
});

/** Schema of the table of routes. */
export const routesTableSchema = z.strictObject({
  rules: rulesSchema.default(rulesSchema.parse({})),
  tenants: z.record(nameSchema, tenantSchema).default({}),
  branches: z.record(nameSchema, branchSchema).default({}),
  routes: z.record(nameSchema, routeSchema),
});

/** Schema of one entry of the table of pools. */
export const poolSchema = z.strictObject({
  dataCentres: z.array(nameSchema).min(1)
    .describe("Data centres that have upstreams of the pool"),
  slotsCount: countSchema.describe("Slots of one upstream"),
  connectionsMaxCount: countSchema
    .describe("Connections that one upstream accepts"),
  endpointsCount: countSchema.describe("Expected number of upstreams"),
  callersMaxCount: countSchema.default(100)
    .describe("Largest number of daemons that call the pool"),
  limit: z.enum(["fixed", "gradient", "aimd"]).default("gradient")
    .describe("Algorithm that adapts the concurrency limit"),
  queueMaxCount: z.int().min(0).max(100_000).default(200)
    .describe("Largest number of requests that wait for one upstream"),
  queueAgeMaxMs: durationMsSchema.default(500)
    .describe("Longest wait in the queue"),
  coldStartMs: z.int().min(0).max(600_000).default(10_000)
    .describe(
      "Time over which the load of a new upstream rises to its full share",
    ),
  ejectionMaxRatio: ratioSchema.default(0.34)
    .describe("Largest share of the pool that may be ejected after failures"),
  refusalsNotRun: z.boolean().default(false)
    .describe(
      "Whether a request that the upstream itself refuses has certainly not run",
    ),
  loadReportPath: z.string().startsWith("/").optional()
    .describe("Path of the upstream's load endpoint"),
  keyRetentionMs: durationMsSchema.default(600_000)
    .describe("Time for which the outcomes of idempotency keys are kept"),
  handoverMs: durationMsSchema.default(10_000)
    .describe("Time that a new owner waits before it runs keyed requests"),
});

/** Schema of the table of pools. */
export const poolsTableSchema = z.strictObject({
  pools: z.record(nameSchema, poolSchema),
});

/** The table of routes. */
export type RoutesTable = z.infer<typeof routesTableSchema>;
/** The table of pools. */
export type PoolsTable = z.infer<typeof poolsTableSchema>;
/** One entry of the table of routes. */
export type Route = z.infer<typeof routeSchema>;
/** One entry of the table of pools. */
export type Pool = z.infer<typeof poolSchema>;
/** Central rules of the table of routes. */
export type CentralRules = z.infer<typeof rulesSchema>;
/** A tenant of the table of routes. */
export type Tenant = z.infer<typeof tenantSchema>;

/** Both tables; they are validated and accepted together. */
export type Tables = {
  readonly routes: RoutesTable;
  readonly pools: PoolsTable;
};
