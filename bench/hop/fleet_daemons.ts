/** Two fleet daemons of one build, and the upstream beside the second. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type {
  ProgramGroup,
  StartedProgram,
} from "../../stand_ins/program_group.ts";

/** Limits of the heap, as in the deploy file. */
const NODE_FLAGS = ["--max-old-space-size=160", "--max-semi-space-size=16"];
const OUTBOUND_PORT = 8_304;
const CONTROL_PORT = 8_306;
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
  const { ip, name } = options;
  const file = join(mkdtempSync(join(tmpdir(), "bench-")), "settings.jsonc");
  const platformFields = {
    node: name,
    ip,
    zone: "a",
    service: options.pool,
    app_addr: `127.0.0.1:${options.upstreamPort}`,
    listen: {
      outbound: `${ip}:${OUTBOUND_PORT}`,
      inbound: `${ip}:8300`,
      ready: `${ip}:8302`,
      control: `${ip}:${CONTROL_PORT}`,
    },
    heartbeat: "600s",
    platform: { address: `127.0.0.1:${options.storePort}` },
    bounds: {
      drain: "100ms",
      grace: "500ms",
      retry_budget_ratio: 0.2,
      budget_window: "10s",
      budget_slack: 48,
    },
  };
  writeFileSync(
    file,
    JSON.stringify({ logLevel: "info", metricsPort: 7621, platformFields }),
  );
  const profileFlags = options.profileFolder === undefined ? [] : [
    "--cpu-prof",
    `--cpu-prof-dir=${options.profileFolder}`,
    `--cpu-prof-name=${name}.cpuprofile`,
  ];
  const main = join(options.build, "platform/main.js");
  return spawn(process.execPath, [...NODE_FLAGS, ...profileFlags, main], {
    env: { ...process.env, GOLDCRESTRELAY_CONFIG: file },
    stdio: ["ignore", "ignore", "inherit"],
  });
}

async function sendHeartbeat(ip: string, pool: string, port: number) {
  const id = `i-${pool}`;
  const answer = await fetch(
    `http://${ip}:${CONTROL_PORT}/v1/rpc?call=instances.heartbeat&of=${id}`,
    {
      method: "POST",
      headers: { connection: "close" },
      body: JSON.stringify({
        address: `127.0.0.1:${port}`,
        born: 1,
        info: { service: pool, version: "v1", zone: "a", slots: SLOTS_COUNT },
        status: { state: "ready", sequence: 1, cold_remaining: "0ms" },
      }),
    },
  );
  await answer.text();
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
    await retry(async () => {
      await sendHeartbeat(ips[position] as string, pool, port);
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
