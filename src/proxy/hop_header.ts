/** Headers that daemons exchange on the hop listener. */
import { z } from "zod";
import {
  IMPORTANCE_CLASSES,
  importanceClassSchema,
  nameSchema,
} from "../schemas/common_schema.ts";
import type { ServingState } from "./answer_receiver.ts";

/** Version of the hop headers; headers of other versions are rejected. */
export const HOP_VERSION = "1";
/** Header of a hop request. */
export const HOP_REQUEST_HEADER = "goldcrest-hop";
/** Header of a hop answer. */
export const HOP_ANSWER_HEADER = "goldcrest-answer";

const SEPARATOR = ";";
const TIMES_SEPARATOR = ",";
const REQUEST_PARTS_COUNT = 15;
// Bits of the flags of a request.
const IDEMPOTENT_FLAG = 1;
const KEYED_FLAG = 2;
const REPEATED_FLAG = 4;
// Bits of the flags of an answer.
const EXHAUSTED_FLAG = 1;
const CALLED_FURTHER_FLAG = 2;
const ANSWER_PARTS_COUNT = 13;

/** Schema of the fields of a hop request. */
export const hopRequestFieldsSchema = z.strictObject({
  requestId: z.string().regex(/^[A-Za-z0-9-]{1,64}$/),
  fromInstanceId: nameSchema,
  toInstanceId: nameSchema,
  toIncarnationEpochMs: z.int().min(0),
  tenant: nameSchema,
  routeName: nameSchema,
  pool: nameSchema,
  importanceClass: importanceClassSchema,
  admissionKey: z.int().min(0).max(127),
  idempotent: z.boolean(),
  /** Whether the daemons enforce the `Idempotency-Key` of the request. */
  keyed: z.boolean(),
  /** Whether the request is part of a retry by a hop closer to the caller. */
  repeated: z.boolean(),
  depthCount: z.int().min(0).max(64),
  attemptsLeftCount: z.int().min(0).max(5),
  remainingMs: z.int().min(0),
  idleTimeoutMs: z.int().min(1),
  /**
   * Monotonic time of the sending daemon, in ms; earlier versions do not send it
   * and ignore it.
   */
  sentAtMs: z.int().min(0).optional(),
});
/** Fields of a hop request. */
export type HopRequestFields = z.infer<typeof hopRequestFieldsSchema>;

/** Schema of the fields of a hop answer. */
export const hopAnswerFieldsSchema = z.strictObject({
  requestId: z.string(),
  instanceId: nameSchema,
  /** Error kind; empty for a complete answer. */
  kind: z.string(),
  outcome: z.enum(["complete", "not-run", "unknown"]),
  exhausted: z.boolean(),
  calledFurther: z.boolean(),
  draining: z.boolean(),
  levelRank: z.int().min(0),
  inFlightCount: z.int().min(0),
  limitCount: z.int().min(0),
  queuedCount: z.int().min(0),
  /** Status of an earlier answer to the same key; 0 without one. */
  recordedStatus: z.int().min(0),
});
/** Fields of a hop answer. */
export type HopAnswerFields = z.infer<typeof hopAnswerFieldsSchema>;

/**
 * Encodes the header of a hop request.
 *
 * @param fields Fields of the request.
 * @param token Token of the sending daemon.
 * @returns Header value.
 */
export function encodeHopRequest(
  fields: HopRequestFields,
  token: string,
): string {
  return [
    HOP_VERSION,
    fields.requestId,
    fields.fromInstanceId,
    fields.toInstanceId,
    fields.toIncarnationEpochMs,
    fields.tenant,
    fields.routeName,
    fields.pool,
    IMPORTANCE_CLASSES.indexOf(fields.importanceClass),
    fields.admissionKey,
    (fields.idempotent ? IDEMPOTENT_FLAG : 0) +
    (fields.keyed ? KEYED_FLAG : 0) +
    (fields.repeated ? REPEATED_FLAG : 0),
    fields.depthCount,
    fields.attemptsLeftCount,
    [fields.remainingMs, fields.idleTimeoutMs, fields.sentAtMs]
      .filter((timeMs) => timeMs !== undefined)
      .join(TIMES_SEPARATOR),
    token,
  ].join(SEPARATOR);
}

/**
 * Decodes and checks the header of a hop request.
 *
 * @param value Header value.
 * @returns Fields and token; undefined if the version or a field is invalid.
 */
export function decodeHopRequest(
  value: string,
): { fields: HopRequestFields; token: string } | undefined {
  const parts = value.split(SEPARATOR);
  if (parts.length !== REQUEST_PARTS_COUNT || parts[0] !== HOP_VERSION) {
    return undefined;
  }
  const [remainingMs, idleTimeoutMs, sentAtMs] = (parts[13] as string)
    .split(TIMES_SEPARATOR);
  const result = hopRequestFieldsSchema.safeParse({
    requestId: parts[1],
    fromInstanceId: parts[2],
    toInstanceId: parts[3],
    toIncarnationEpochMs: Number(parts[4]),
    tenant: parts[5],
    routeName: parts[6],
    pool: parts[7],
    importanceClass: IMPORTANCE_CLASSES[Number(parts[8])],
    admissionKey: Number(parts[9]),
    idempotent: (Number(parts[10]) & IDEMPOTENT_FLAG) !== 0,
    keyed: (Number(parts[10]) & KEYED_FLAG) !== 0,
    repeated: (Number(parts[10]) & REPEATED_FLAG) !== 0,
    depthCount: Number(parts[11]),
    attemptsLeftCount: Number(parts[12]),
    remainingMs: Number(remainingMs),
    idleTimeoutMs: Number(idleTimeoutMs),
    sentAtMs: sentAtMs === undefined ? undefined : Number(sentAtMs),
  });
  return result.success
    ? { fields: result.data, token: parts[14] as string }
    : undefined;
}

/** Fields of a hop answer that describe its result. */
export type HopAnswerResult = Pick<
  HopAnswerFields,
  "requestId" | "kind" | "outcome" | "recordedStatus"
>;

/**
 * Encodes the header of a hop answer.
 *
 * @param result Request id, error kind (empty for a complete answer), outcome
 * and status of an earlier answer.
 * @param serving State of the serving daemon.
 * @param token Token of the serving daemon.
 * @returns Header value.
 */
export function encodeHopAnswer(
  result: HopAnswerResult,
  serving: ServingState,
  token: string,
): string {
  const { load } = serving;
  return [
    HOP_VERSION,
    result.requestId,
    serving.instanceId,
    result.kind,
    result.outcome,
    (serving.exhausted ? EXHAUSTED_FLAG : 0) +
    (serving.calledFurther ? CALLED_FURTHER_FLAG : 0),
    serving.draining ? 1 : 0,
    load.levelRank,
    load.inFlightCount,
    load.limitCount,
    load.queuedCount,
    result.recordedStatus,
    token,
  ].join(SEPARATOR);
}

/**
 * Decodes and checks the header of a hop answer.
 *
 * @param value Header value.
 * @returns Fields and token; undefined if the version or a field is invalid.
 */
export function decodeHopAnswer(
  value: string,
): { fields: HopAnswerFields; token: string } | undefined {
  const parts = value.split(SEPARATOR);
  if (parts.length !== ANSWER_PARTS_COUNT || parts[0] !== HOP_VERSION) {
    return undefined;
  }
  const result = hopAnswerFieldsSchema.safeParse({
    requestId: parts[1],
    instanceId: parts[2],
    kind: parts[3],
    outcome: parts[4],
    exhausted: (Number(parts[5]) & EXHAUSTED_FLAG) !== 0,
    calledFurther: (Number(parts[5]) & CALLED_FURTHER_FLAG) !== 0,
    draining: parts[6] === "1",
    levelRank: Number(parts[7]),
    inFlightCount: Number(parts[8]),
    limitCount: Number(parts[9]),
    queuedCount: Number(parts[10]),
    recordedStatus: Number(parts[11]),
  });
  return result.success
    ? { fields: result.data, token: parts[12] as string }
    : undefined;
}

/**
 * Extracts the serving state from the answer fields.
 *
 * @param fields Decoded answer header.
 * @returns State of the serving daemon.
 */
export function servingStateOf(fields: HopAnswerFields): ServingState {
  return {
    instanceId: fields.instanceId,
    draining: fields.draining,
    exhausted: fields.exhausted,
    calledFurther: fields.calledFurther,
    load: {
      levelRank: fields.levelRank,
      inFlightCount: fields.inFlightCount,
      limitCount: fields.limitCount,
      queuedCount: fields.queuedCount,
    },
  };
}
