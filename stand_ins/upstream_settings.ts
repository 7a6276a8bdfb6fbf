/** Schemas of the settings and records of the upstream stand-in. */
import { z } from "zod";
import {
  addressSchema,
  countSchema,
  nameSchema,
} from "../src/schemas/common_schema.ts";

const nextCallSchema = z.strictObject({
  url: z.url().describe("Outbound listener of the daemon beside the upstream"),
  method: z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]).default("POST"),
  path: z.string().startsWith("/"),
});

/** Schema of the behaviour, which can change while the program runs. */
export const upstreamBehaviourSchema = z.strictObject({
  slotsCount: countSchema.default(16)
    .describe("Requests that run at once; further ones wait"),
  queueMaxCount: z.int().min(0).default(1_000)
    .describe("Requests that wait for a slot; further ones are shed"),
  serviceMs: z.number().min(0).default(1)
    .describe("Mean time of the work for one request"),
  spreadRatio: z.number().min(0).max(1).default(0)
    .describe("Largest deviation from the mean, as a share of it"),
  coldStartMs: z.number().min(0).default(0)
    .describe("Time after the start in which requests take longer"),
  coldStartFactor: z.number().min(1).default(1)
    .describe("Factor of the service time at the start; falls to 1"),
  shedding: z.boolean().default(false)
    .describe("Refuses all requests before any effect"),
  draining: z.boolean().default(false)
    .describe("Refuses new requests; those that run go on"),
  loadReport: z.strictObject({
    lagMs: z.number().min(0).default(0).describe("Age of the reported value"),
    factorRatio: z.number().min(0).default(1)
      .describe("Reported value divided by the true one"),
  }).default({ lagMs: 0, factorRatio: 1 }),
  refusesAfterNext: z.boolean().default(false)
    .describe("Claims not-run after the call to the next service"),
  next: nextCallSchema.optional()
    .describe("Call that the work makes to the next service"),
});
/** Behaviour of the upstream stand-in. */
export type UpstreamBehaviour = z.infer<typeof upstreamBehaviourSchema>;

/** Schema of the settings of the upstream stand-in. */
export const upstreamSettingsSchema = z.strictObject({
  pool: nameSchema,
  host: addressSchema.shape.host.default("127.0.0.1"),
  port: addressSchema.shape.port.default(0),
  controlPort: addressSchema.shape.port.default(0)
    .describe("Port of records and changes of behaviour"),
  connectionsMaxCount: countSchema.default(1_000),
  seed: z.int().default(1).describe("Seed of the spread of service times"),
  announceUrl: z.url().optional()
    .describe("Operator listener of the daemon beside the upstream"),
  behaviour: upstreamBehaviourSchema.prefault({}),
});
/** Settings of the upstream stand-in. */
export type UpstreamSettings = z.infer<typeof upstreamSettingsSchema>;

/** Schema of one request as the upstream recorded it. */
export const requestRecordSchema = z.strictObject({
  requestId: z.string(),
  tenant: z.string(),
  key: z.string().describe("Idempotency key; empty without one"),
  token: z.string().describe("Token of the caller's request"),
  path: z.string(),
  /** A request takes effect when it starts to run; a `shed` one never does. */
  state: z.enum(["waiting", "shed", "running", "done", "failed", "cancelled"]),
  effect: z.boolean().describe("Whether the request took effect"),
  workMs: z.number().describe("Time that the request held a slot"),
});
/** One request as the upstream recorded it. */
export type RequestRecord = z.infer<typeof requestRecordSchema>;
