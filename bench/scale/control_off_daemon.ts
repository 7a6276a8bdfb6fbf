/**
 * Daemon without control: fixed tables and directory, no peers and no platform.
 * It runs a garbage collection on SIGUSR2. The argument is the number of
 * daemons in its tables; the ready line contains its operator listener.
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createDaemon } from "../../src/daemon/create_daemon.ts";
import { settingsSchema } from "../../src/schemas/settings_schema.ts";
import {
  StubConfig,
  StubDirectory,
} from "../../src/testing/data_path_fixtures.ts";
import { makeFleetTables } from "./fleet_tables.ts";
import { ANY_PORT_LISTENERS } from "../../stand_ins/ready_lines.ts";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;
process.on("SIGUSR2", () => collectGarbage());

const settings = settingsSchema.parse({
  instance: { id: "control-off", dataCentre: "dc-0" },
  listeners: ANY_PORT_LISTENERS,
  platform: { url: "http://127.0.0.1:9" },
  peers: { keys: [{ id: "bench", secret: "bench-secret-0123456789" }] },
});
const daemon = createDaemon(settings, {
  config: new StubConfig(
    makeFleetTables(Number(process.argv[2]), { change: 1 }),
  ),
  directory: new StubDirectory(),
  processMetrics: true,
});
const { operator } = await daemon.listen();
process.stdout.write(`${JSON.stringify({ operator })}\n`);
