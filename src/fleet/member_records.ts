/** Comparison of member records. */
import {
  type MemberRecord,
  memberRecordSchema,
  type UpstreamDeparture,
} from "../schemas/fleet_schema.ts";

/** Kind of the store's objects that hold member records. */
export const MEMBER_KIND = "goldcrest-members";

/**
 * Decodes a stored record. Another writer may have left one that is malformed or
 * names another member.
 *
 * @param name Name of the stored object.
 * @param value Its value.
 * @returns The record; undefined when it is not one of that member.
 */
export function decodeMemberRecord(
  name: string,
  value: unknown,
): MemberRecord | undefined {
  const result = memberRecordSchema.safeParse(value);
  return result.success && result.data.name === name ? result.data : undefined;
}

/**
 * Compares two departures.
 *
 * @param a Departure, or undefined for none.
 * @param b Other departure.
 * @returns Whether both are of the same start of the same upstream.
 */
export function isSameDeparture(
  a: UpstreamDeparture | undefined,
  b: UpstreamDeparture | undefined,
): boolean {
  return a?.upstreamId === b?.upstreamId &&
    a?.startedEpochMs === b?.startedEpochMs;
}

/**
 * Compares two records of the same member.
 *
 * @param a Record.
 * @param b Other record.
 * @returns Whether all fields but the name are equal.
 */
export function isSameRecord(a: MemberRecord, b: MemberRecord): boolean {
  return a.pool === b.pool && a.dataCentre === b.dataCentre &&
    a.link.host === b.link.host && a.link.port === b.link.port &&
    isSameDeparture(a.leftUpstream, b.leftUpstream);
}
