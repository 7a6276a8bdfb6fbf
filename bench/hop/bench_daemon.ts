/**
 * Daemon of the hop benchmark: the real daemon with a fixed configuration and
 * directory. The argument is a JSON object with its settings; the ready line
 * contains its ports.
 */
import process from "node:process";
import { z } from "zod";
import { createFixedDaemon } from "../../src/testing/fixed_daemon.ts";

const SLOTS = { slotsCount: 1_000, connectionsMaxCount: 64 };
const DATA_CENTRE = "dakar-plateau";
const POOL = "logbook";

const benchSettingsSchema = z.strictObject({
  instanceId: z.string(),
  /** Port of the local upstream. */
  upstreamPort: z.int().optional(),
  /** Daemon that requests are forwarded to. */
  target: z.strictObject({
    instanceId: z.string(),
    incarnationEpochMs: z.number(),
    hopPort: z.int(),
  }).optional(),
});

const options = benchSettingsSchema.parse(JSON.parse(process.argv[2] ?? ""));
const route = { pool: POOL, class: "standard", idempotent: true };
const { daemon, directory } = createFixedDaemon({
  instanceId: options.instanceId,
  dataCentre: DATA_CENTRE,
  tables: {
    routes: {
      routes: {
        read: { match: { method: "GET", pathPrefix: "/logs" }, ...route },
        write: { match: { method: "POST", pathPrefix: "/logs" }, ...route },
      },
    },
    pools: {
      pools: {
        [POOL]: { dataCentres: [DATA_CENTRE], endpointsCount: 1, ...SLOTS },
      },
    },
  },
});
const bound = await daemon.listen();
if (options.upstreamPort !== undefined) {
  daemon.attachUpstream({
    pool: POOL,
    host: "127.0.0.1",
    port: options.upstreamPort,
    ...SLOTS,
  });
}
if (options.target !== undefined) {
  directory.add({
    ...options.target,
    dataCentre: DATA_CENTRE,
    pool: POOL,
    hopHost: "127.0.0.1",
    ...SLOTS,
    state: "alive",
    joinedMs: 0,
  });
}
const { incarnationEpochMs } = daemon;
process.stdout.write(
  `${
    JSON.stringify({
      incarnationEpochMs,
      callersPort: bound.callers.port,
      hopPort: bound.hop.port,
    })
  }\n`,
);
