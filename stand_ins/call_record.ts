/** Schema of the records of the caller stand-in. */
import { z } from "zod";

/** Schema of one attempt of a call with its answer. */
export const callRecordSchema = z.strictObject({
  requestId: z.string().describe("Request id of the answer; empty without one"),
  tenant: z.string(),
  token: z.string().describe("Names the request in the upstreams' records"),
  key: z.string().describe("Idempotency key; empty without one"),
  status: z.int().describe("Status of the answer; 0 without one"),
  /** `broken`: no answer, or one that ended early. */
  outcome: z.enum(["complete", "not-run", "unknown", "broken"]),
  errorKind: z.string(),
  recordedStatus: z.string()
    .describe("Status of an earlier answer for the key; empty without one"),
  answerTenant: z.string().describe("Tenant that the answer claims"),
  bytesCount: z.int().describe("Bytes of the body that arrived"),
  bodyMatches: z.boolean().describe("Whether every byte is the expected one"),
  whole: z.boolean().describe("Whether the body has its full length"),
  latencyMs: z.number(),
});
/** One attempt of a call with its answer. */
export type CallRecord = z.infer<typeof callRecordSchema>;
