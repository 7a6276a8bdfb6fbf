/**
 * Program of a daemon with a fixed configuration, for tests that measure it in
 * a process of its own. The argument is a JSON object with the port of its
 * upstream, the sizes of its pool and bodies and the limits of its machine; the
 * ready line has its bound addresses.
 */
import process from "node:process";
import { z } from "zod";
import { settingsSchema } from "../schemas/settings_schema.ts";
import { createFixedDaemon } from "./fixed_daemon.ts";

const DATA_CENTRE = "dc-a";
const POOL = "catalogue";
const INSTANCE_ID = "catalogue-1";

const optionsSchema = z.strictObject({
  upstreamPort: z.int(),
  slotsCount: z.int(),
  connectionsMaxCount: z.int(),
  bodyMaxBytes: z.int(),
  machine: settingsSchema.shape.machine,
});

const options = optionsSchema.parse(JSON.parse(process.argv[2] ?? ""));
const { slotsCount, connectionsMaxCount, bodyMaxBytes } = options;
const { daemon, directory } = createFixedDaemon({
  instanceId: INSTANCE_ID,
  dataCentre: DATA_CENTRE,
  machine: options.machine,
  tables: {
    routes: {
      routes: {
        upload: {
          match: { method: "POST", pathPrefix: "/uploads" },
          pool: POOL,
          class: "standard",
          idempotent: false,
          bodyMaxBytes,
        },
      },
    },
    pools: {
      pools: {
        [POOL]: {
          dataCentres: [DATA_CENTRE],
          endpointsCount: 1,
          slotsCount,
          connectionsMaxCount,
        },
      },
    },
  },
});
const listeners = await daemon.listen();
daemon.attachUpstream({
  pool: POOL,
  host: "127.0.0.1",
  port: options.upstreamPort,
  slotsCount,
  connectionsMaxCount,
});
directory.add({
  instanceId: INSTANCE_ID,
  incarnationEpochMs: daemon.incarnationEpochMs,
  dataCentre: DATA_CENTRE,
  pool: POOL,
  hopHost: "127.0.0.1",
  hopPort: listeners.hop.port,
  slotsCount,
  connectionsMaxCount,
  state: "alive",
  joinedMs: 0,
});
process.stdout.write(`${JSON.stringify({ listeners })}\n`);
