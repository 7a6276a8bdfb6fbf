/** Scenario of a restart of all daemons under load. */
import { z } from "zod";
import type {
  FleetConfig,
  FleetRoute,
} from "../../src/schemas/fleet_schema.ts";

/** Schema of a scenario; see {@link Scenario}. */
export const scenarioSchema = z.object({
  pools: z.array(z.object({
    name: z.string(),
    slotsCounts: z.array(z.int().min(1)).describe("Slots of each upstream"),
    speeds: z.array(z.number().positive()).describe("Speed of each upstream"),
  })),
  routes: z.array(z.object({
    name: z.string(),
    pool: z.string(),
    priority: z.int().min(0),
    idempotent: z.boolean(),
    workMs: z.number(),
    timeoutMs: z.number(),
    latencyGoalMs: z.number(),
    callerTimeoutMs: z.number(),
    ratePerS: z.number().describe("Requests of callers; 0 for a called route"),
    calls: z.array(z.object({
      route: z.string(),
      count: z.int().min(1),
      isParallel: z.boolean(),
    })),
  })),
  burst: z.object({
    fromMs: z.number(),
    untilMs: z.number(),
    factor: z.number(),
    impatientRatio: z.number()
      .describe("Share of the callers that repeat at once"),
    impatientRetriesCount: z.int(),
  }),
  restart: z.object({
    atMs: z.number(),
    downMs: z.number(),
    isWithUpstreams: z.boolean()
      .describe("Whether the upstreams restart too and are slow at first"),
  }),
  endMs: z.number(),
});

/** Pools, routes with their load, and the times of the burst and the restart. */
export type Scenario = z.infer<typeof scenarioSchema>;

/** A route of a scenario. */
export type ScenarioRoute = Scenario["routes"][number];

const LIMITS: FleetConfig["limits"] = {
  headerMaxBytes: 65_536,
  bodyMaxBytes: 1_048_576,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 10_000,
};

function toFleetRoute(route: ScenarioRoute): FleetRoute {
  const { name, pool, priority, idempotent, timeoutMs, latencyGoalMs } = route;
  return {
    name,
    host: `${name}.example`,
    pathPrefix: "/",
    idempotent,
    timeoutMs,
    latencyGoalMs,
    attemptsMax: 2,
    priority,
    isPublic: false,
    targets: [{ pool, weight: 1 }],
  };
}

/**
 * Builds the configuration of the daemons of a scenario.
 *
 * @param scenario Scenario.
 * @returns Configuration with its routes and pools.
 */
export function toFleetConfig(
  scenario: Pick<Scenario, "pools" | "routes">,
): FleetConfig {
  return {
    version: 1,
    routes: scenario.routes.map(toFleetRoute),
    pools: scenario.pools.map(({ name }) => ({
      name,
      healthPath: "/health",
      connectionsMaxCount: 1_000,
    })),
    limits: LIMITS,
  };
}

/**
 * Four pools, of which the last one is the narrowest. A read causes eight calls
 * there, one after the other, and has less time than twice its usual duration.
 */
export const CHAIN_SCENARIO: Scenario = scenarioSchema.parse({
  pools: [
    { name: "logbook", slotsCounts: [71, 71], speeds: [0.8, 1.2] },
    { name: "certify", slotsCounts: [71, 71], speeds: [0.8, 1.2] },
    { name: "mediatheque", slotsCounts: [71, 71], speeds: [0.8, 1.2] },
    { name: "inscription", slotsCounts: [13, 13], speeds: [0.7, 1.3] },
  ],
  routes: [
    {
      name: "read",
      pool: "logbook",
      priority: 2,
      idempotent: true,
      workMs: 120,
      timeoutMs: 800,
      latencyGoalMs: 1_500,
      callerTimeoutMs: 5_000,
      ratePerS: 65,
      calls: [{ route: "tally", count: 2, isParallel: false }],
    },
    {
      name: "vote",
      pool: "certify",
      priority: 0,
      idempotent: false,
      workMs: 160,
      timeoutMs: 1_000,
      latencyGoalMs: 1_500,
      callerTimeoutMs: 5_000,
      ratePerS: 23,
      calls: [{ route: "bundles", count: 2, isParallel: true }],
    },
    {
      name: "download",
      pool: "mediatheque",
      priority: 0,
      idempotent: false,
      workMs: 84,
      timeoutMs: 1_000,
      latencyGoalMs: 250,
      callerTimeoutMs: 1_000,
      ratePerS: 20,
      calls: [],
    },
    {
      name: "enrol",
      pool: "inscription",
      priority: 1,
      idempotent: true,
      workMs: 48,
      timeoutMs: 600,
      latencyGoalMs: 150,
      callerTimeoutMs: 600,
      ratePerS: 15.5,
      calls: [],
    },
    {
      name: "tally",
      pool: "certify",
      priority: 2,
      idempotent: true,
      workMs: 15,
      timeoutMs: 2_500,
      latencyGoalMs: 1_000,
      callerTimeoutMs: 2_500,
      ratePerS: 0,
      calls: [{ route: "bundles", count: 1, isParallel: false }],
    },
    {
      name: "bundles",
      pool: "mediatheque",
      priority: 2,
      idempotent: true,
      workMs: 15,
      timeoutMs: 2_000,
      latencyGoalMs: 800,
      callerTimeoutMs: 2_000,
      ratePerS: 0,
      calls: [{ route: "roster", count: 4, isParallel: false }],
    },
    {
      name: "roster",
      pool: "inscription",
      priority: 2,
      idempotent: true,
      workMs: 30,
      timeoutMs: 700,
      latencyGoalMs: 300,
      callerTimeoutMs: 700,
      ratePerS: 0,
      calls: [],
    },
  ],
  burst: {
    fromMs: 8_000,
    untilMs: 60_000,
    factor: 1.8,
    impatientRatio: 0.4,
    impatientRetriesCount: 3,
  },
  restart: { atMs: 20_000, downMs: 600, isWithUpstreams: false },
  endMs: 44_000,
});
