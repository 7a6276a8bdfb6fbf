/** Schemas of the envelope around each message between daemons. */
import { z } from "zod";
import { nameSchema } from "./common_schema.ts";

/** Version of the envelope; messages of another version are rejected. */
export const ENVELOPE_VERSION = 2;

const bytesSchema = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array,
  "Must be bytes",
);

/** Schema of the identity that a daemon sends in each message. */
export const peerIdentitySchema = z.strictObject({
  instanceId: nameSchema,
  incarnationEpochMs: z.number().min(0),
  dataCentre: nameSchema,
});

/** Schema of the head of a message, which is the same for all methods. */
export const envelopeHeadSchema = z.strictObject({
  version: z.int(),
  method: z.string().min(1).max(63),
  direction: z.enum(["request", "answer"]),
  /** Hash of the field names of the body; see `BodyCodec`. */
  fingerprint: z.int().min(0).max(0xffffffff),
  keyId: nameSchema,
  from: peerIdentitySchema,
  /** Receiving instance; empty while the sender does not know it. */
  target: z.union([nameSchema, z.literal("")]),
  sentEpochMs: z.number(),
  /** Random id of the request, also sent in the answer. */
  requestId: z.string().min(8).max(64),
});
/** Head of a message between daemons. */
export type EnvelopeHead = z.infer<typeof envelopeHeadSchema>;

/** Schema of a message on the wire: packed head, packed body, and their MAC. */
export const envelopeSchema = z.strictObject({
  head: bytesSchema,
  body: bytesSchema,
  mac: bytesSchema,
});
/** Message between daemons on the wire. */
export type Envelope = z.infer<typeof envelopeSchema>;
