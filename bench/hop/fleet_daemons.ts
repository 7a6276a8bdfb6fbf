/** Two fleet daemons of one build, and the upstream beside the second. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import {
  CONTROL_PORT,
  DAEMON_NODE_FLAGS,
  OUTBOUND_PORT,
  writeDaemonSettings,
} from "../../platform/testing/daemon_settings.ts";
import { sendHeartbeat } from "../../platform/testing/send_heartbeat.ts";
import type {
  ProgramGroup,
  StartedProgram,
} from "../../stand_ins/program_group.ts";

const READY_POLL_MS = 50;
const START_MAX_MS = 15_000;
const SLOTS_COUNT = 39;

/** Host of the routes. */
export const BENCH_HOST = "bench.test";

/** Upstream that answers after this time, and the pool of its daemon. */
const WORK_MS = 15;
const POOL = "ledger";

/** A running pair of daemons. */
export type FleetPair = {
  /** Folder of the build, as given on the command line. */
  readonly build: string;
  /** Origin of the first daemon's listener for callers. */
  readonly origin: string;
  /** The daemon beside the caller, and the one beside the upstream. */
  readonly daemons: readonly ChildProcess[];
  readonly upstream: StartedProgram;
};

type DaemonOptions = {
  build: string;
  name: string;
  ip: string;
  pool: string;
  upstreamPort: number;
  storePort: number;
  /** Folder for a CPU profile; undefined for none. */
  profileFolder: string | undefined;
};

function startDaemon(options: DaemonOptions): ChildProcess {
  const { name } = options;
  const file = writeDaemonSettings(mkdtempSync(join(tmpdir(), "bench-")), {
    ...options,
    heartbeat: "600s",
    drain: "100ms",
    grace: "500ms",
  });
  const profileFlags = options.profileFolder === undefined ? [] : [
    "--cpu-prof",
    `--cpu-prof-dir=${options.profileFolder}`,
    `--cpu-prof-name=${name}.cpuprofile`,
  ];
  const main = join(options.build, "platform/main.js");
  return spawn(
    process.execPath,
    [...DAEMON_NODE_FLAGS, ...profileFlags, main],
    {
      env: { ...process.env, GOLDCRESTRELAY_CONFIG: file },
      stdio: ["ignore", "ignore", "inherit"],
    },
  );
}

/** Repeats an operation until it returns true; throws after 15 s. */
async function retry(operation: () => Promise<boolean>): Promise<void> {
  const endsAtMs = performance.now() + START_MAX_MS;
  while (!await operation().catch(() => false)) {
    if (performance.now() > endsAtMs) {
      throw new Error("The daemons did not get ready in time");
    }
    await delay(READY_POLL_MS);
  }
}

/**
 * Starts the daemons of one build, and waits until they answer a request.
 *
 * @param programs Group that stops the upstream.
 * @param options Folder of the build, position among the builds, port of the
 *   store, and folder for CPU profiles.
 * @returns The pair; the caller ends its daemons.
 */
export async function startFleetPair(
  programs: ProgramGroup,
  options: {
    build: string;
    index: number;
    storePort: number;
    profileFolder: string | undefined;
  },
): Promise<FleetPair> {
  const upstream = await programs.start("bench/hop/fleet_upstream.js", [
    String(WORK_MS),
  ]);
  const { port } = upstream.ready as { port: number };
  // Each pair has a pool of its own, since all share the store.
  const pools = [`entry-${options.index}`, `${POOL}-${options.index}`];
  const ips = pools.map((_, position) =>
    `127.${1 + process.pid % 250}.${240 + options.index}.${1 + position}`
  );
  const daemons = pools.map((pool, position) =>
    startDaemon({
      ...options,
      name: `bench-${pool}`,
      ip: ips[position] as string,
      pool,
      upstreamPort: port,
    })
  );
  for (const [position, pool] of pools.entries()) {
    const address = { host: ips[position] as string, port: CONTROL_PORT };
    await retry(async () => {
      await sendHeartbeat(address, {
        id: `i-${pool}`,
        pool,
        dataCentre: "a",
        upstreamPort: port,
        slots: SLOTS_COUNT,
      });
      return true;
    });
  }
  const origin = `http://${ips[0]}:${OUTBOUND_PORT}`;
  await retry(async () => {
    const answer = await request(`${origin}/safe-${options.index}/1`, {
      headers: { host: BENCH_HOST },
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  });
  return { build: options.build, origin, daemons, upstream };
}
