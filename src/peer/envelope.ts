/** Encodes, signs, decodes and checks messages between daemons. */
import { Packr } from "msgpackr";
import type { z } from "zod";
import {
  ENVELOPE_VERSION,
  type EnvelopeHead,
  envelopeHeadSchema,
  envelopeSchema,
} from "../schemas/peer_schema.ts";
import type { KeyRing } from "./key_ring.ts";

/**
 * Greatest difference between the time in a message and the receiver's clock.
 * Covers the longest request timeout (5 s) and the clock skew that the design
 * allows (2 s) with a margin; it bounds how long a recorded message can be
 * replayed.
 */
export const ENVELOPE_AGE_MAX_MS = 10_000;

/** Why a message is rejected. */
export type RejectionReason =
  | "malformed"
  | "version"
  | "mac"
  | "stale"
  | "target"
  | "schema";

/** A message that did not pass a check. */
export class RejectedMessageError extends Error {
  readonly reason: RejectionReason;

  /**
   * @param reason Check that failed.
   * @param message Sentence for logs, without a final period.
   */
  constructor(reason: RejectionReason, message: string) {
    super(message);
    this.name = "RejectedMessageError";
    this.reason = reason;
  }
}

/** A message whose MAC, version and time are valid. */
export type OpenedEnvelope = {
  readonly head: EnvelopeHead;
  /** Packed body, not yet checked against the schema of the method. */
  readonly body: Uint8Array;
};

const packer = new Packr({ useRecords: true });

function unpackChecked<T extends z.ZodType>(
  bytes: Uint8Array,
  schema: T,
): z.infer<T> {
  let value: unknown;
  try {
    value = packer.unpack(bytes);
  } catch {
    throw new RejectedMessageError("malformed", "Message cannot be decoded");
  }
  const result = schema.safeParse(value);
  if (!result.success) {
    const [issue] = result.error.issues;
    const path = issue?.path.join(".") ?? "";
    throw new RejectedMessageError(
      "schema",
      `Message does not match its schema at "${path}": ${issue?.message}`,
    );
  }
  return result.data;
}

/**
 * Checks a body against the schema of its method and encodes it.
 *
 * @param body Body of a message.
 * @param schema Schema of the body.
 * @returns Packed body.
 * @throws {RejectedMessageError} When the body does not match.
 */
export function packBody<T extends z.ZodType>(
  body: z.infer<T>,
  schema: T,
): Uint8Array {
  const result = schema.safeParse(body);
  if (!result.success) {
    throw new RejectedMessageError("schema", result.error.message);
  }
  return packer.pack(result.data);
}

/**
 * Decodes a body and checks it against the schema of its method.
 *
 * @param bytes Packed body.
 * @param schema Schema of the body.
 * @returns The checked body.
 * @throws {RejectedMessageError} When the body does not match.
 */
export function unpackBody<T extends z.ZodType>(
  bytes: Uint8Array,
  schema: T,
): z.infer<T> {
  return unpackChecked(bytes, schema);
}

/**
 * Signs a packed body with its head.
 *
 * @param head Head without version and key id.
 * @param body Packed body.
 * @param options Keys in force.
 * @returns Message for the wire.
 *
 * @example
 * sealEnvelope(head, packBody(request, method.request), { keys });
 */
export function sealEnvelope(
  head: Omit<EnvelopeHead, "version" | "keyId">,
  body: Uint8Array,
  options: { keys: KeyRing },
): Buffer {
  const { keys } = options;
  const keyId = keys.signingId;
  const headBytes = packer.pack({ ...head, version: ENVELOPE_VERSION, keyId });
  const mac = keys.sign(keyId, [headBytes, body]);
  return packer.pack({ head: headBytes, body, mac });
}

/**
 * Decodes a message and checks version, MAC and time.
 *
 * @param bytes Message from the wire.
 * @param options Keys in force and the present wall time.
 * @returns Head and packed body.
 * @throws {RejectedMessageError} When a check fails.
 */
export function openEnvelope(
  bytes: Uint8Array,
  options: { keys: KeyRing; wallMs: number },
): OpenedEnvelope {
  const envelope = unpackChecked(bytes, envelopeSchema);
  const head = unpackChecked(envelope.head, envelopeHeadSchema);
  if (head.version !== ENVELOPE_VERSION) {
    throw new RejectedMessageError(
      "version",
      `Message has version ${head.version}, expected ${ENVELOPE_VERSION}`,
    );
  }
  const parts = [envelope.head, envelope.body];
  if (!options.keys.verify(head.keyId, parts, { mac: envelope.mac })) {
    throw new RejectedMessageError(
      "mac",
      "Message authentication code is wrong",
    );
  }
  const ageMs = Math.abs(options.wallMs - head.sentEpochMs);
  if (ageMs > ENVELOPE_AGE_MAX_MS) {
    throw new RejectedMessageError(
      "stale",
      `Message time differs by ${Math.round(ageMs)} ms`,
    );
  }
  return { head, body: envelope.body };
}
