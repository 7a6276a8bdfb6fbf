/** Sizes of membership messages as they are sent. */
import type { z } from "zod";
import { codecOf } from "../../src/peer/body_codec.ts";
import { signEnvelope, verifyEnvelope } from "../../src/peer/envelope.ts";
import { KeyRing } from "../../src/peer/key_ring.ts";
import {
  PROBE_METHOD,
  PUSH_METHOD,
  SYNC_METHOD,
} from "../../src/membership/membership_methods.ts";
import { measureCpuMs } from "../config/measure.ts";
import type { FleetMessage, FleetNode } from "./membership_fleet.ts";

const METHODS = {
  probe: PROBE_METHOD,
  push: PUSH_METHOD,
  sync: SYNC_METHOD,
} as const;
const KEYS = new KeyRing([{ id: "bench", secret: "bench-secret-0123456789" }]);
const REQUEST_ID = "123456789012";
const CODEC_REPEATS_COUNT = 5_000;

/** Number and bytes of messages; a request and its answer count as one. */
export type Traffic = { messagesCount: number; bytes: number };

/** Request or answer of an exchange. */
type OneWayMessage = {
  readonly from: FleetNode;
  readonly to: FleetNode;
  readonly body: unknown;
  readonly direction: "request" | "answer";
};

function signMessage(
  kind: FleetMessage["kind"],
  message: OneWayMessage,
): Buffer {
  const { from, to, body, direction } = message;
  const method = METHODS[kind];
  const schema: z.ZodType = direction === "request"
    ? method.request
    : method.answer;
  const codec = codecOf(schema);
  return signEnvelope(
    {
      direction,
      fingerprint: codec.fingerprint,
      method: method.name,
      from: from.core.identity,
      target: to.id,
      sentEpochMs: Date.now(),
      requestId: REQUEST_ID,
    },
    codec.pack(body),
    { keys: KEYS },
  );
}

/**
 * Computes the bytes of an exchange, without the framing of gRPC.
 *
 * @param message Message that was answered.
 * @returns Bytes of request and answer with their envelopes.
 */
export function exchangeBytes(message: FleetMessage): number {
  const { kind, from, body, answer } = message;
  const to = message.to as FleetNode;
  const request = signMessage(kind, { from, to, body, direction: "request" });
  const reply = { from: to, to: from, body: answer };
  return request.length +
    signMessage(kind, { ...reply, direction: "answer" }).length;
}

/**
 * Measures the codec at both ends: schema validation, encoding and MAC.
 *
 * @param message A probe that was answered.
 * @returns Processor time of one message at both ends together, in ms.
 */
export function measureCodecMs(message: FleetMessage): number {
  const { from, body } = message;
  const to = message.to as FleetNode;
  return measureCpuMs(CODEC_REPEATS_COUNT, () => {
    const bytes = signMessage("probe", {
      from,
      to,
      body,
      direction: "request",
    });
    const verified = verifyEnvelope(bytes, { keys: KEYS, wallMs: Date.now() });
    codecOf(PROBE_METHOD.request).unpack(verified.body);
  });
}
