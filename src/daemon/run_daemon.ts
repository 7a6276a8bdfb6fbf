/** Runs one daemon until it shuts down. */
import process from "node:process";
import { InputError } from "../errors/input_error.ts";
import type { Settings } from "../schemas/settings_schema.ts";
import { JsonLogger } from "../telemetry/logger.ts";
import { readSettings } from "./read_settings.ts";
import { SignalSource } from "./signal_source.ts";
import type { Daemon } from "./daemon_types.ts";
import { createDaemon } from "./create_daemon.ts";

/** Exit code after invalid input at start-up. */
export const EXIT_BAD_INPUT = 2;

/** Binds all listeners and writes their addresses to stdout as a JSON line. */
async function bindListeners(
  daemon: Daemon,
  settingsFile: string,
): Promise<void> {
  try {
    const listeners = await daemon.listen();
    const { instanceId, incarnationEpochMs } = daemon;
    const line = { instanceId, incarnationEpochMs, listeners };
    process.stdout.write(`${JSON.stringify(line)}\n`);
  } catch (error) {
    const { message } = error as Error;
    throw new InputError([
      { source: settingsFile, path: "listeners", message },
    ]);
  }
}

async function runToEnd(daemon: Daemon, settingsFile: string): Promise<number> {
  try {
    await bindListeners(daemon, settingsFile);
    return await daemon.ended;
  } finally {
    await daemon.destroy();
  }
}

/**
 * Runs a daemon until it has shut down.
 *
 * @param settings Validated settings.
 * @param settingsFile Path of the settings file, from which `SIGHUP` re-reads
 *   the peer keys.
 * @returns Exit code: 0 after a clean drain, 1 when requests were aborted.
 * @throws {InputError} When a listener cannot be bound.
 */
export async function runDaemon(
  settings: Settings,
  settingsFile: string,
): Promise<number> {
  const log = new JsonLogger({
    level: settings.log.level,
    fields: { instance: settings.instance.id },
  });
  const signals = new SignalSource();
  const daemon = createDaemon(settings, {
    log,
    signals: signals.stream,
    processMetrics: true,
    readKeys: () => readSettings(settingsFile).peers.keys,
  });
  try {
    return await runToEnd(daemon, settingsFile);
  } finally {
    signals.close();
  }
}
