/** Objects of the platform that hold tables and the accepted configuration. */
import type { PlatformClient } from "../core/platform_client.ts";
import {
  type AcceptedRecord,
  acceptedRecordSchema,
  type AcceptorStatus,
  acceptorStatusSchema,
} from "../schemas/config_schema.ts";

/** Kind of the stored tables. */
export const TABLES_KIND = "tables";
/** Kind of the accepted configuration and the acceptor's status. */
export const CONFIG_KIND = "config";
/** Name of the accepted configuration. */
export const ACCEPTED_NAME = "accepted";
/** Name of the acceptor's status: its result for the last pair of tables. */
export const STATUS_NAME = "status";

/** Value and version of an object. */
export type Versioned<T> = { readonly version: number; readonly value: T };

/**
 * Reads the accepted configuration.
 *
 * @param platform Object API.
 * @returns The object; undefined before the first acceptance.
 * @throws {PlatformError} When the read fails.
 */
export async function readAccepted(
  platform: PlatformClient,
): Promise<Versioned<AcceptedRecord> | undefined> {
  const object = await platform.get(CONFIG_KIND, ACCEPTED_NAME);
  return object && {
    version: object.version,
    value: acceptedRecordSchema.parse(object.value),
  };
}

/**
 * Reads the acceptor's status.
 *
 * @param platform Object API.
 * @returns The object; undefined before the first result.
 * @throws {PlatformError} When the read fails.
 */
export async function readAcceptorStatus(
  platform: PlatformClient,
): Promise<Versioned<AcceptorStatus> | undefined> {
  const object = await platform.get(CONFIG_KIND, STATUS_NAME);
  return object && {
    version: object.version,
    value: acceptorStatusSchema.parse(object.value),
  };
}
