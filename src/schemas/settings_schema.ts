/** Schema of a daemon's settings file. */
import { z } from "zod";
import {
  addressSchema,
  countSchema,
  durationMsSchema,
  nameSchema,
} from "./common_schema.ts";

const peerKeySchema = z.strictObject({
  id: nameSchema.describe("Key id that is sent with each message"),
  secret: z.string().min(16).describe("Shared secret, at least 16 characters"),
});

/** Schema of an upstream's announcement. */
export const announcementSchema = z.strictObject({
  pool: nameSchema.describe("Pool that the upstream serves"),
  host: addressSchema.shape.host,
  port: z.int().min(1).max(65535).describe("TCP port of the upstream"),
  slotsCount: countSchema.describe("Requests that the upstream runs at once"),
  connectionsMaxCount: countSchema
    .describe("Connections that the upstream accepts"),
});
/** Announcement of the local upstream. */
export type Announcement = z.infer<typeof announcementSchema>;

/** Schema of the settings of a daemon. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    id: nameSchema.describe("Name of the instance, unique in the system"),
    dataCentre: nameSchema.describe("Data centre of the instance"),
  }),
  listeners: z.strictObject({
    callers: addressSchema.describe("Requests of callers outside the system"),
    hop: addressSchema.describe("Requests that other daemons forward"),
    outbound: addressSchema.describe("Downstream calls of the local upstream"),
    peer: addressSchema.describe("Control messages of other daemons"),
    operator: addressSchema.describe(
      "Requests of operators and announcements of the upstream",
    ),
  }),
  upstream: announcementSchema.optional()
    .describe("Fixed announcement, for an upstream that does not send one"),
  platform: z.strictObject({
    url: z.url().describe("Base URL of the platform's object API"),
    timeoutMs: durationMsSchema.default(2_000)
      .describe("Longest time to wait for an answer of the platform"),
    callsPerSMax: countSchema.default(5)
      .describe("Highest rate of this daemon's calls to the platform"),
  }),
  peers: z.strictObject({
    contacts: z.array(addressSchema).default([])
      .describe("Peer listeners to contact when the platform is down"),
    keys: z.array(peerKeySchema).min(1)
      .describe("Shared keys; the first signs, all verify"),
  }),
  machine: z.strictObject({
    memoryMaxBytes: z.int().min(100_000_000).max(1_000_000_000_000).optional()
      .describe(
        "Memory that the process may use; by default that of the machine or " +
          "container, at most 1000000000. Bounds what is held for callers",
      ),
    descriptorsMaxCount: countSchema.min(100).optional()
      .describe(
        "File descriptors that the process may open; by default the limit " +
          "that the system sets. Bounds the connections of callers",
      ),
  }).default({}),
  policy: z.enum(["adaptive", "fixed", "unlimited"]).default("adaptive")
    .describe(
      "Overload policy; all but adaptive are baselines for comparisons",
    ),
  drainLimitMs: durationMsSchema.default(600_000)
    .describe("Longest time that a graceful stop waits for open requests"),
  log: z.strictObject({
    level: z.enum(["trace", "debug", "info", "warn", "error", "silent"])
      .describe("Lowest level that is logged"),
  }).default({ level: "info" }),
});
/** Settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;
/** A shared key between daemons. */
export type PeerKey = z.infer<typeof peerKeySchema>;
