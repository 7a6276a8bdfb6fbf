/**
 * Program of a daemon with a fixed configuration, for tests that measure it in
 * a process of its own. The argument is a JSON object with the port of its
 * upstream and changes of its settings; the ready line has its bound addresses.
 */
import process from "node:process";
import { z } from "zod";
import { createDaemon } from "../daemon/create_daemon.ts";
import { settingsSchema } from "../schemas/settings_schema.ts";
import { JsonLogger } from "../telemetry/logger.ts";
import { ANY_PORT_LISTENERS } from "../../stand_ins/ready_lines.ts";
import { StubConfig, StubDirectory } from "./data_path_fixtures.ts";

const DATA_CENTRE = "dc-a";
const POOL = "catalogue";
const INSTANCE_ID = "catalogue-1";

const optionsSchema = z.strictObject({
  upstreamPort: z.int(),
  slotsCount: z.int(),
  connectionsMaxCount: z.int(),
  bodyMaxBytes: z.int(),
  settings: z.record(z.string(), z.unknown()).default({}),
});

const options = optionsSchema.parse(JSON.parse(process.argv[2] ?? ""));
const { slotsCount, connectionsMaxCount, bodyMaxBytes } = options;
const settings = settingsSchema.parse({
  instance: { id: INSTANCE_ID, dataCentre: DATA_CENTRE },
  listeners: ANY_PORT_LISTENERS,
  platform: { url: "http://127.0.0.1:9" },
  peers: { keys: [{ id: "k1", secret: "0123456789abcdef" }] },
  ...options.settings,
});
const config = new StubConfig({
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
});
const directory = new StubDirectory();
const daemon = createDaemon(settings, {
  config,
  directory,
  log: new JsonLogger({ level: "warn" }),
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
