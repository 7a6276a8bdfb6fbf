/** Idempotency keys: a UUIDv7 with an optional home data centre. */
import { nameSchema } from "../../schemas/common_schema.ts";

/** Parsed idempotency key. */
export type IdempotencyKey = {
  /** The whole key as the caller sent it, in lower case. */
  readonly text: string;
  /** Data centre of the prefix; undefined without a prefix. */
  readonly homeDataCentre: string | undefined;
  /** Time of the first send, taken from the UUIDv7, in ms since the epoch. */
  readonly createdEpochMs: number;
};

const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const HEX = 16;

/**
 * Parses an idempotency key.
 *
 * @param text `<data centre>.<UUIDv7>` or a plain UUIDv7.
 * @returns The key; undefined when it is malformed.
 *
 * @example
 * parseIdempotencyKey("thies-nord.01a24009-a77b-7622-83ff-8745fede89af");
 */
export function parseIdempotencyKey(text: string): IdempotencyKey | undefined {
  const lowerText = text.toLowerCase();
  const dot = lowerText.indexOf(".");
  const uuid = lowerText.slice(dot + 1);
  const homeDataCentre = dot < 0 ? undefined : lowerText.slice(0, dot);
  if (!UUID_V7.test(uuid)) {
    return undefined;
  }
  if (
    homeDataCentre !== undefined &&
    !nameSchema.safeParse(homeDataCentre).success
  ) {
    return undefined;
  }
  const timeHex = uuid.slice(0, 8) + uuid.slice(9, 13);
  return {
    text: lowerText,
    homeDataCentre,
    createdEpochMs: Number.parseInt(timeHex, HEX),
  };
}
