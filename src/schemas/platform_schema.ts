/** Schemas of the platform's answers and of lease records. */
import { z } from "zod";
import { nameSchema } from "./common_schema.ts";

/** Schema of an object in lists and watches. */
export const storedObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.int().min(1),
  value: z.unknown(),
});

/** Schema of the answer to a list request. */
export const storedListSchema = z.object({
  objects: z.array(storedObjectSchema),
});

/** Schema of the token that identifies one write of a lease. */
export const leaseTokenSchema = z.strictObject({
  instanceId: nameSchema,
  incarnationEpochMs: z.number().min(0),
  counter: z.int().min(0).describe("Increases with each write of the holder"),
});

/** Schema of the record of a lease, `leases/NAME`. */
export const leaseRecordSchema = z.strictObject({
  token: leaseTokenSchema.describe("Token of the last write"),
  released: z.boolean().describe("Whether the writer released the lease"),
  lengthMs: z.int().min(1),
});

/** Token of a lease. */
export type LeaseToken = z.infer<typeof leaseTokenSchema>;
/** Record of a lease. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;
