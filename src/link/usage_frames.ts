/** Encodes and decodes the messages about usage caps. */
import type {
  CapAsk,
  CapGrant,
  CapHeld,
} from "../decisions/caps/cap_messages.ts";
import {
  FRAME,
  usageAskFrameSchema,
  usageGrantFrameSchema,
  usageHeldFrameSchema,
} from "../schemas/link_schema.ts";

/** Parts of a token are sent in hundredths, rounded down. */
function roundPart(count: number): number {
  return Math.floor(count * 100) / 100;
}

/**
 * Encodes a message to an owner.
 *
 * @param ask The message.
 * @returns Frame for a link.
 */
export function encodeUsageAsk(ask: CapAsk): readonly unknown[] {
  return [
    FRAME.usageAsk,
    ask.processId,
    ask.sequence,
    Math.round(ask.sentAtMs),
    ask.membersCount,
    ask.listNumber,
    ask.leasedTenants ?? null,
    ask.tenants.map((tenant) => [
      tenant.tenantName,
      tenant.waitingCount,
      tenant.prefetchCount,
      tenant.returnedCount,
      roundPart(tenant.carriedCount),
    ]),
  ];
}

/**
 * Decodes a message to an owner.
 *
 * @param frame Frame of a link.
 * @returns The message.
 * @throws {z.ZodError} When the frame does not have the expected form.
 */
export function decodeUsageAsk(frame: unknown): CapAsk {
  const [
    ,
    processId,
    sequence,
    sentAtMs,
    membersCount,
    listNumber,
    list,
    asks,
  ] = usageAskFrameSchema.parse(frame);
  return {
    processId,
    sequence,
    sentAtMs,
    membersCount,
    listNumber,
    leasedTenants: list ?? undefined,
    tenants: asks.map(
      ([tenantName, waitingCount, prefetchCount, returnedCount, carried]) => ({
        tenantName,
        waitingCount,
        prefetchCount,
        returnedCount,
        carriedCount: carried,
      }),
    ),
  };
}

/**
 * Encodes a report to an owner.
 *
 * @param held The report.
 * @returns Frame for a link.
 */
export function encodeUsageHeld(held: CapHeld): readonly unknown[] {
  return [
    FRAME.usageHeld,
    held.processId,
    held.sequence,
    held.tenants.map(({ tenantName, heldCount }) => [tenantName, heldCount]),
  ];
}

/**
 * Decodes a report to an owner.
 *
 * @param frame Frame of a link.
 * @returns The report.
 * @throws {z.ZodError} When the frame does not have the expected form.
 */
export function decodeUsageHeld(frame: unknown): CapHeld {
  const [, processId, sequence, tenants] = usageHeldFrameSchema.parse(frame);
  return {
    processId,
    sequence,
    tenants: tenants.map(([tenantName, heldCount]) => ({
      tenantName,
      heldCount,
    })),
  };
}

/**
 * Encodes the answer of an owner.
 *
 * @param grant The answer.
 * @returns Frame for a link.
 */
export function encodeUsageGrant(grant: CapGrant): readonly unknown[] {
  return [
    FRAME.usageGrant,
    grant.processId,
    grant.sequence,
    grant.listNumber,
    grant.tenants.map((tenant) => [
      tenant.tenantName,
      tenant.grantedCount,
      tenant.deniedCount,
      tenant.roomInMs,
      roundPart(tenant.carriedCount),
    ]),
  ];
}

/**
 * Decodes the answer of an owner.
 *
 * @param frame Frame of a link.
 * @returns The answer.
 * @throws {z.ZodError} When the frame does not have the expected form.
 */
export function decodeUsageGrant(frame: unknown): CapGrant {
  const [, processId, sequence, listNumber, grants] = usageGrantFrameSchema
    .parse(frame);
  return {
    processId,
    sequence,
    listNumber,
    tenants: grants.map(
      ([tenantName, grantedCount, deniedCount, roomInMs, carriedCount]) => ({
        tenantName,
        grantedCount,
        deniedCount,
        roomInMs,
        carriedCount,
      }),
    ),
  };
}
