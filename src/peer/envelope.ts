/**
 * Signs and verifies messages between daemons. An envelope holds the head, the
 * body and their message authentication code (MAC).
 */
import {
  ENVELOPE_VERSION,
  type EnvelopeHead,
  envelopeHeadSchema,
  envelopeSchema,
} from "../schemas/peer_schema.ts";
import { codecOf } from "./body_codec.ts";
import type { KeyRing } from "./key_ring.ts";
import { RejectedMessageError } from "./rejected_message_error.ts";

/**
 * Largest difference between the time in a message and the receiver's clock.
 * Covers the longest request timeout (3 s, for a page of a synchronisation of
 * members) and the default of `clockSkewMaxMs` (2 s) with a margin. It bounds how
 * long a recorded message can be replayed.
 */
export const ENVELOPE_AGE_MAX_MS = 10_000;

/** A message whose MAC, version and time are valid. */
export type VerifiedEnvelope = {
  readonly head: EnvelopeHead;
  /** Packed body, not yet checked against the schema of the method. */
  readonly body: Uint8Array;
};

const envelopeCodec = codecOf(envelopeSchema);
const headCodec = codecOf(envelopeHeadSchema);

/**
 * Signs a head and a packed body.
 *
 * @param head Head without version and key id.
 * @param body Packed body.
 * @param options Current shared keys.
 * @returns Encoded message.
 *
 * @example
 * signEnvelope(head, codecOf(method.request).pack(request), { keys });
 */
export function signEnvelope(
  head: Omit<EnvelopeHead, "version" | "keyId">,
  body: Uint8Array,
  options: { keys: KeyRing },
): Buffer {
  const { keys } = options;
  const keyId = keys.signingId;
  const headBytes = headCodec.pack({
    ...head,
    version: ENVELOPE_VERSION,
    keyId,
  });
  const mac = keys.sign(keyId, [headBytes, body]) as Buffer;
  return envelopeCodec.pack({ head: headBytes, body, mac });
}

/**
 * Decodes a message and checks its version, MAC and time.
 *
 * @param bytes Encoded message.
 * @param options Current shared keys and the current wall time, in ms.
 * @returns Head and packed body.
 * @throws {RejectedMessageError} When a check fails.
 */
export function verifyEnvelope(
  bytes: Uint8Array,
  options: { keys: KeyRing; wallMs: number },
): VerifiedEnvelope {
  const envelope = envelopeCodec.unpack(bytes);
  const head = headCodec.unpack(envelope.head);
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
