/** Scenarios of the policy bench. */
import { readFileSync } from "node:fs";
import { z } from "zod";
import {
  countSchema,
  importanceClassSchema,
  nameSchema,
} from "../../src/schemas/common_schema.ts";
import { parseJsonc } from "../../src/schemas/parse_jsonc.ts";

const poolLoadSchema = z.strictObject({
  endpointsCount: countSchema,
  slotsCount: countSchema,
  connectionsMaxCount: countSchema,
  /** Factor on the work time of this pool during the pressure. */
  slowRatio: z.number().min(1).default(1),
});

const callSchema = z.strictObject({
  pool: nameSchema,
  /** Mean time of the pool's own work, without downstream calls. */
  workMs: z.number().min(0),
  /** Calls that the upstream makes one after another when its work is done. */
  get calls() {
    return z.array(callSchema).default([]);
  },
});
/** A call with its downstream calls. */
export type CallPlan = z.infer<typeof callSchema>;

const routeLoadSchema = z.strictObject({
  class: importanceClassSchema,
  idempotent: z.boolean(),
  call: callSchema,
  ratePerS: z.number().min(0),
  /** Rate during the pressure. */
  surgeRatePerS: z.number().min(0),
  deadlineMs: z.number().min(1),
});
/** Offered load of one route. */
export type RouteLoad = z.infer<typeof routeLoadSchema>;

const scenarioSchema = z.strictObject({
  name: z.string(),
  overloadPreference: z.number().min(0).max(1),
  dataCentres: z.array(nameSchema).min(1),
  clientLatencyMs: z.number().min(0),
  pressureFromMs: z.number(),
  pressureUntilMs: z.number(),
  endMs: z.number(),
  /** Tries of a client, the first one included. */
  clientTriesCount: countSchema,
  clientRetryDelayMs: z.number(),
  tenants: z.array(nameSchema).min(1),
  pools: z.record(nameSchema, poolLoadSchema),
  routes: z.record(nameSchema, routeLoadSchema),
});
/** One scenario: pools, offered load and time of the pressure. */
export type Scenario = z.infer<typeof scenarioSchema>;

/**
 * Reads a scenario file.
 *
 * @param path Path of a file in JSON with comments.
 * @returns The scenario.
 * @throws {InputError} On a mistake in the file.
 */
export function readScenario(path: string): Scenario {
  return parseJsonc(readFileSync(path, "utf8"), scenarioSchema, {
    source: path,
  });
}
