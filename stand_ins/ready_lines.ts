/** Listeners on free ports, and the lines that programs print once they listen. */
import { z } from "zod";
import { type Address, addressSchema } from "../src/schemas/common_schema.ts";

const daemonLineSchema = z.object({
  listeners: z.object({
    callers: addressSchema,
    hop: addressSchema,
    outbound: addressSchema,
    peer: addressSchema,
    operator: addressSchema,
  }),
});
const platformLineSchema = z.object({ url: z.url() });

/** Bound addresses of a daemon. */
export type DaemonAddresses = z.infer<typeof daemonLineSchema>["listeners"];

const ANY_PORT: Address = { host: "127.0.0.1", port: 0 };

/** Listeners on the loopback interface with ports that the system chooses. */
export const ANY_PORT_LISTENERS: DaemonAddresses = {
  callers: ANY_PORT,
  hop: ANY_PORT,
  outbound: ANY_PORT,
  peer: ANY_PORT,
  operator: ANY_PORT,
};

/**
 * Parses the ready line of a daemon.
 *
 * @param ready JSON value of the line.
 * @returns Bound addresses.
 * @throws When the line does not have the expected form.
 */
export function parseDaemonReadyLine(ready: unknown): DaemonAddresses {
  return daemonLineSchema.parse(ready).listeners;
}

/**
 * Parses the ready line of the platform stand-in.
 *
 * @param ready JSON value of the line.
 * @returns Base URL of the object API.
 * @throws When the line does not have the expected form.
 */
export function parsePlatformReadyLine(ready: unknown): string {
  return platformLineSchema.parse(ready).url;
}

/**
 * Formats an address as the base URL of an HTTP listener.
 *
 * @param address Address.
 * @returns URL without a path.
 */
export function urlOf({ host, port }: Address): string {
  return `http://${host}:${port}`;
}
