/** Schemas of the messages and platform objects of the membership. */
import { z } from "zod";
import { hostSchema, nameSchema } from "./common_schema.ts";

/**
 * States of a member on the wire. Of two updates with the same incarnation and
 * sequence, the one whose state is later in this list is newer. A `dead` member
 * was declared dead without confirmation, a `gone` one is confirmed to have
 * ended, and a `left` one announced its own end.
 */
export const MEMBER_STATES = [
  "alive",
  "leaving",
  "suspect",
  "leavingSuspect",
  "dead",
  "gone",
  "left",
] as const;

/** Schema of a member's state. */
export const memberStateSchema = z.enum(MEMBER_STATES);
/** State of a member. */
export type MemberState = z.infer<typeof memberStateSchema>;

/**
 * Schema of a member's version. Newer versions replace older ones; they are
 * compared by incarnation, sequence and state.
 */
export const memberVersionSchema = z.strictObject({
  incarnationEpochMs: z.number().min(0),
  /**
   * Incremented by the member itself to refute a suspicion or to change its
   * attributes.
   */
  sequence: z.int().min(0),
  state: memberStateSchema,
});
/** Version of a member. */
export type MemberVersion = z.infer<typeof memberVersionSchema>;

/** Schema of the addresses of a member and the properties of its upstream. */
export const memberAttributesSchema = z.strictObject({
  peerHost: hostSchema,
  peerPort: z.int().min(1).max(65535),
  hopHost: hostSchema,
  hopPort: z.int().min(1).max(65535),
  /** Operator listener; absent when other hosts cannot reach it. */
  operatorHost: hostSchema.optional(),
  operatorPort: z.int().min(1).max(65535).optional(),
  /** Pool of the upstream; empty while no upstream is announced. */
  pool: z.union([nameSchema, z.literal("")]),
  slotsCount: z.int().min(0).max(1_000_000),
  connectionsMaxCount: z.int().min(0).max(1_000_000),
});
/** Addresses of a member and properties of its upstream. */
export type MemberAttributes = z.infer<typeof memberAttributesSchema>;

/** Schema of one update about a member. */
export const memberUpdateSchema = z.strictObject({
  instanceId: nameSchema,
  dataCentre: nameSchema,
  ...memberVersionSchema.shape,
  ...memberAttributesSchema.shape,
  /** Instance that suspects the member; absent without a suspicion. */
  suspectedBy: nameSchema.optional(),
});
/** One update about a member. */
export type MemberUpdate = z.infer<typeof memberUpdateSchema>;

const uint32Schema = z.int().min(0).max(0xffffffff);

/** Schema of a probe. The sender's identity is in the envelope. */
export const probeRequestSchema = z.strictObject({
  /** Version in which the sender knows the probed member; absent if unknown. */
  held: memberVersionSchema.optional(),
  /** Digest of the sender's member view. */
  digest: uint32Schema,
});
/** A probe. */
export type ProbeRequest = z.infer<typeof probeRequestSchema>;

/** Schema of the answer to a probe. */
export const probeAnswerSchema = z.strictObject({
  /** Instance that answered; may differ from the probed one. */
  instanceId: nameSchema,
  /**
   * Version in which the answering member knows the sender; absent if unknown.
   */
  held: memberVersionSchema.optional(),
  digest: uint32Schema,
});
/** Answer to a probe. */
export type ProbeAnswer = z.infer<typeof probeAnswerSchema>;

/** Schema of a request that floods updates. */
export const pushRequestSchema = z.strictObject({
  updates: z.array(memberUpdateSchema).max(1_000),
  /** Whether the updates repair a difference between two member views. */
  isRepair: z.boolean(),
});
/** Request that floods updates. */
export type PushRequest = z.infer<typeof pushRequestSchema>;

/** Schema of the empty answer to {@link pushRequestSchema}. */
export const pushAnswerSchema = z.strictObject({});

/** Schema of the digests of one data centre. */
export const dataCentreDigestsSchema = z.strictObject({
  dataCentre: nameSchema,
  buckets: z.array(uint32Schema).max(256),
});
/** Digests of the members of one data centre, by bucket. */
export type DataCentreDigests = z.infer<typeof dataCentreDigestsSchema>;

/** Schema of a request for the records of the buckets that differ. */
export const syncRequestSchema = z.strictObject({
  sender: memberUpdateSchema,
  digests: z.array(dataCentreDigestsSchema).max(1_000),
  /** Last bucket of the previous page; empty for the first page. */
  after: z.string().max(80),
});
/** Request for the records of the buckets that differ. */
export type SyncRequest = z.infer<typeof syncRequestSchema>;

/** Schema of the answer to {@link syncRequestSchema}. */
export const syncAnswerSchema = z.strictObject({
  self: memberUpdateSchema,
  /** Buckets that differ; `updates` has all their records. */
  buckets: z.array(z.string().max(80)),
  updates: z.array(memberUpdateSchema),
  /**
   * Value of `after` in the request for the next page; empty on the last page.
   */
  next: z.string().max(80),
});
/** Records of the buckets that differ. */
export type SyncAnswer = z.infer<typeof syncAnswerSchema>;

/**
 * Schema of the platform objects of kind `members`, one per shard of a data
 * centre.
 */
export const memberShardSchema = z.strictObject({
  members: z.array(
    memberUpdateSchema.omit({ state: true, sequence: true, suspectedBy: true }),
  ),
});
/** Announcements of one shard of a data centre. */
export type MemberShard = z.infer<typeof memberShardSchema>;
