/** A product daemon with a fixed configuration and directory. */
import { createDaemon } from "../daemon/create_daemon.ts";
import type { Daemon } from "../daemon/daemon_types.ts";
import { type Settings, settingsSchema } from "../schemas/settings_schema.ts";
import { JsonLogger } from "../telemetry/logger.ts";
import { ANY_PORT_LISTENERS } from "../../stand_ins/ready_lines.ts";
import { StubConfig, StubDirectory } from "./data_path_fixtures.ts";

/** Options of {@link createFixedDaemon}. */
export type FixedDaemonOptions = {
  instanceId: string;
  dataCentre: string;
  /** Tables of routes and pools, in the format of the operators. */
  tables: ConstructorParameters<typeof StubConfig>[0];
  /** Limits of the machine in the settings. */
  machine?: Settings["machine"];
};

/**
 * Creates a daemon that needs no platform and has no peers. It has not been
 * started.
 *
 * @param options Identity and tables.
 * @returns The daemon and its directory.
 */
export function createFixedDaemon(
  { instanceId, dataCentre, tables, machine }: FixedDaemonOptions,
): { daemon: Daemon; directory: StubDirectory } {
  const directory = new StubDirectory();
  const daemon = createDaemon(
    settingsSchema.parse({
      instance: { id: instanceId, dataCentre },
      listeners: ANY_PORT_LISTENERS,
      platform: { url: "http://127.0.0.1:9" },
      peers: { keys: [{ id: "k1", secret: "0123456789abcdef" }] },
      machine,
    }),
    {
      config: new StubConfig(tables),
      directory,
      log: new JsonLogger({ level: "warn" }),
    },
  );
  return { daemon, directory };
}
