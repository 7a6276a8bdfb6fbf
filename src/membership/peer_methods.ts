/** Requests between daemons that carry the membership. */
import {
  probeAnswerSchema,
  probeRequestSchema,
  pushAnswerSchema,
  pushRequestSchema,
  syncAnswerSchema,
  syncRequestSchema,
} from "../schemas/member_schema.ts";

/** Probe of an observer. */
export const PROBE_METHOD = {
  name: "member-probe",
  request: probeRequestSchema,
  answer: probeAnswerSchema,
};

/** Flood or repair of updates. */
export const PUSH_METHOD = {
  name: "member-push",
  request: pushRequestSchema,
  answer: pushAnswerSchema,
};

/** Comparison of two views. */
export const SYNC_METHOD = {
  name: "member-sync",
  request: syncRequestSchema,
  answer: syncAnswerSchema,
};
