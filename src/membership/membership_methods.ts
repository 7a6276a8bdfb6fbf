/** Methods of the membership protocol between daemons. */
import {
  probeAnswerSchema,
  probeRequestSchema,
  pushAnswerSchema,
  pushRequestSchema,
  syncAnswerSchema,
  syncRequestSchema,
} from "../schemas/member_schema.ts";

/** Probe of a member, with the sender's view of it. */
export const PROBE_METHOD = {
  name: "member-probe",
  request: probeRequestSchema,
  answer: probeAnswerSchema,
};

/** Updates that are flooded, or that repair a difference between views. */
export const PUSH_METHOD = {
  name: "member-push",
  request: pushRequestSchema,
  answer: pushAnswerSchema,
};

/** Request for the records in which two views differ. */
export const SYNC_METHOD = {
  name: "member-sync",
  request: syncRequestSchema,
  answer: syncAnswerSchema,
};
