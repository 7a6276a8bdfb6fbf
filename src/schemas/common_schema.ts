/** Schemas shared by tables, settings and messages. */
import { z } from "zod";

/** Importance classes, most important first. */
export const IMPORTANCE_CLASSES = [
  "critical",
  "important",
  "standard",
  "background",
] as const;

/** Schema of an importance class. */
export const importanceClassSchema = z.enum(IMPORTANCE_CLASSES);
/** Importance class of a route. */
export type ImportanceClass = z.infer<typeof importanceClassSchema>;

/**
 * Schema of the name of a route, pool, tenant, branch, instance or data centre.
 */
export const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9_-]{0,62}$/,
  "Must be 1 to 63 lower case letters, digits, hyphens or underscores",
);

/** Schema of an IP address. */
export const hostSchema = z.union([z.ipv4(), z.ipv6()], {
  error: "Must be an IP address",
}).describe("IP address");

/** Schema of a TCP port; 0 lets the system choose. */
export const portSchema = z.int().min(0).max(65535)
  .describe("TCP port; 0 lets the system choose");

/** Schema of an address to listen at or connect to. */
export const addressSchema = z.strictObject({
  host: hostSchema,
  port: portSchema,
});
/** IP address and port. */
export type Address = z.infer<typeof addressSchema>;

/** Schema of a positive duration, in ms. */
export const durationMsSchema = z.int().min(1).max(86_400_000);

/** Schema of a ratio in `[0, 1]`. */
export const ratioSchema = z.number().min(0).max(1);

/** Schema of a positive count. */
export const countSchema = z.int().min(1).max(1_000_000);
