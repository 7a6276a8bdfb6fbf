/** Schema of the JSON that the operator listener returns at `/status`. */
import { z } from "zod";
import {
  addressSchema,
  importanceClassSchema,
  nameSchema,
} from "./common_schema.ts";

const generationSchema = z.int().min(0);
const epochMsSchema = z.number().min(0);
const nonNegativeCountSchema = z.int().min(0);

/** Schema of one generation that a daemon applied. */
export const appliedGenerationSchema = z.strictObject({
  generation: generationSchema,
  digest: z.string(),
  appliedEpochMs: epochMsSchema.describe(
    "Wall time of the daemon when it applied the generation",
  ),
  acceptedEpochMs: epochMsSchema.optional()
    .describe("Wall time of the acceptor, if the source sent it"),
  source: z.enum(["flood", "peer", "platform"])
    .describe(
      "Delta flooded by a neighbour, fetched from a peer, or read from the platform",
    ),
});

/** Schema of the configuration of a daemon. */
export const configStatusSchema = z.strictObject({
  generation: generationSchema.describe("0 before the first configuration"),
  digest: z.string().describe("Empty before the first configuration"),
  confirmedAgeMs: z.number().min(0)
    .describe(
      "Time since a peer or the platform last confirmed the generation",
    ),
  applied: z.array(appliedGenerationSchema)
    .describe("Most recently applied generations, oldest first"),
});

/** Schema of one member as a daemon sees it. */
export const memberStatusSchema = z.strictObject({
  instanceId: nameSchema,
  incarnationEpochMs: epochMsSchema,
  dataCentre: nameSchema,
  state: z.enum(["alive", "suspect", "draining", "dead", "left"]),
  pool: nameSchema.optional(),
  operator: addressSchema.optional()
    .describe("Operator listener, if the member announced it"),
});

/** Schema of one lease as a daemon sees it. */
export const leaseStatusSchema = z.strictObject({
  name: z.string(),
  state: z.string().describe("State of the chart `lease`"),
  heldBySelf: z.boolean(),
  holder: nameSchema.optional().describe("Last known holder"),
});

/** Schema of the counters of one tenant and class. */
export const classCountersSchema = z.strictObject({
  tenant: nameSchema,
  class: importanceClassSchema,
  offeredCount: nonNegativeCountSchema,
  completeCount: nonNegativeCountSchema,
  notRunCount: nonNegativeCountSchema,
  unknownCount: nonNegativeCountSchema,
});

/** Schema of the admission state for the local upstream. */
export const admissionStatusSchema = z.strictObject({
  level: z.int().min(0).max(512).describe(
    "Rank below which requests are admitted; 512 admits all",
  ),
  inFlightCount: nonNegativeCountSchema,
  limitCount: nonNegativeCountSchema,
  queueCount: nonNegativeCountSchema,
});

/** Schema of the answer at `/status`. */
export const statusSchema = z.strictObject({
  instanceId: nameSchema,
  incarnationEpochMs: epochMsSchema,
  dataCentre: nameSchema,
  state: z.enum(["starting", "ready", "draining", "stopped"]),
  config: configStatusSchema,
  members: z.array(memberStatusSchema)
    .describe("Empty with the query `members=none`"),
  leases: z.array(leaseStatusSchema),
  admission: admissionStatusSchema,
  counters: z.array(classCountersSchema),
});

/** Answer at `/status`. */
export type Status = z.infer<typeof statusSchema>;
/** Configuration part of a status. */
export type ConfigStatus = z.infer<typeof configStatusSchema>;
/** One generation that a daemon applied. */
export type AppliedGeneration = z.infer<typeof appliedGenerationSchema>;
/** One member of a status. */
export type MemberStatus = z.infer<typeof memberStatusSchema>;
/** One lease of a status. */
export type LeaseStatus = z.infer<typeof leaseStatusSchema>;
/** Counters of one tenant and class. */
export type ClassCounters = z.infer<typeof classCountersSchema>;
