/**
 * Fleet variant of the hop benchmark: processor time and system calls of one
 * call at the daemon beside the caller and at the one beside the upstream.
 * Several builds are measured in turns.
 */
import { once } from "node:events";
import { mkdirSync, readFileSync } from "node:fs";
import { loadavg } from "node:os";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Cli, Command, Option } from "clipanion";
import { StoreStandIn } from "../../platform/testing/store_stand_in.ts";
import {
  MANIFEST_KIND,
  MANIFEST_NAME,
} from "../../platform/manifest_format.ts";
import { createManifest } from "../../platform/testing/fleet_harness.ts";
import { ProgramGroup } from "../../stand_ins/program_group.ts";
import { BENCH_HOST, type FleetPair, startFleetPair } from "./fleet_daemons.ts";
import { runFleetLoad } from "./fleet_load.ts";
import { processorTimeMs } from "./processor_time.ts";

const OWN_BUILD = fileURLToPath(new URL("../..", import.meta.url));
const WARM_UP_MS = 4_000;
const US_PER_MS = 1_000;

/** Figures of one round, each per complete call. */
type Round = {
  callerUs: number;
  calleeUs: number;
  callerCalls: number;
  calleeCalls: number;
  newConnections: number;
  callsPerS: number;
  failedCount: number;
};

/** Reads and writes of a process through system calls such as read and writev. */
function readWriteCount(pid: number): number {
  const text = readFileSync(`/proc/${pid}/io`, "utf8");
  const count = (name: string) =>
    Number(new RegExp(`^${name}: (\\d+)$`, "m").exec(text)?.[1]);
  return count("syscr") + count("syscw");
}

async function connectionsOf({ upstream }: FleetPair): Promise<number> {
  const answer = await upstream.ask({});
  return (answer as { connectionsCount: number }).connectionsCount;
}

async function measure(
  pair: FleetPair,
  load: { index: number; openCount: number; durationMs: number },
): Promise<Round> {
  const pids = pair.daemons.map(({ pid }) => pid as number);
  const read = () =>
    pids.flatMap((pid) => [processorTimeMs(pid), readWriteCount(pid)]);
  const connectionsBefore = await connectionsOf(pair);
  const before = read();
  const { completeCount, failedCount } = await runFleetLoad(pair.origin, load);
  const used = read().map((value, index) => value - (before[index] as number));
  const newConnections = await connectionsOf(pair) - connectionsBefore;
  const [callerMs, callerCalls, calleeMs, calleeCalls] = used.map((value) =>
    value / completeCount
  ) as [number, number, number, number];
  return {
    callerUs: callerMs * US_PER_MS,
    calleeUs: calleeMs * US_PER_MS,
    callerCalls,
    calleeCalls,
    newConnections: newConnections / completeCount,
    callsPerS: completeCount / load.durationMs * 1_000,
    failedCount,
  };
}

/** Median, and in brackets the smallest and the largest value. */
function formatSpread(values: readonly number[], digits: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const [median, least, most] = [
    sorted[Math.floor(sorted.length / 2)],
    sorted[0],
    sorted[sorted.length - 1],
  ].map((value) => value?.toFixed(digits));
  return `${median} (${least}-${most})`;
}

function formatBuild(build: string, rounds: readonly Round[]): string {
  const spread = (field: keyof Round, digits: number) =>
    formatSpread(rounds.map((round) => round[field]), digits);
  return [
    build,
    `  caller's daemon, us/call: ${spread("callerUs", 0)}`,
    `  callee's daemon, us/call: ${spread("calleeUs", 0)}`,
    `  caller's daemon, reads and writes/call: ${spread("callerCalls", 2)}`,
    `  callee's daemon, reads and writes/call: ${spread("calleeCalls", 2)}`,
    `  new upstream connections/call: ${spread("newConnections", 4)}`,
    `  calls/s: ${spread("callsPerS", 0)}`,
    `  failed: ${spread("failedCount", 0)}`,
  ].join("\n");
}

/**
 * Compares the processor time of a build with that of the first one, round by
 * round, so that a change of the load of the machine affects both.
 */
function formatRatios(
  rounds: readonly Round[],
  first: readonly Round[],
): string {
  const ratios = (field: "callerUs" | "calleeUs") =>
    formatSpread(
      rounds.map((round, index) =>
        round[field] / (first[index]?.[field] ?? NaN)
      ),
      2,
    );
  return `  times the first build: caller's daemon ${ratios("callerUs")}, ` +
    `callee's daemon ${ratios("calleeUs")}`;
}

class FleetHopBench extends Command {
  static override paths = [Command.Default];
  builds = Option.String("--builds", OWN_BUILD, {
    description: "Folders of builds, separated by commas; measured in turns",
  });
  rounds = Option.String("--rounds", "7");
  roundMs = Option.String("--round-ms", "3000");
  open = Option.String("--open", "36", { description: "Calls open at once" });
  profile = Option.String("--profile", {
    description: "Folder for CPU profiles of the daemons",
  });

  async execute(): Promise<number> {
    const programs = new ProgramGroup();
    const store = new StoreStandIn();
    const pairs: FleetPair[] = [];
    try {
      await this.#startPairs(programs, { store, pairs });
      await this.#measureAll(pairs);
      return 0;
    } finally {
      const exits = pairs.flatMap(({ daemons }) => daemons).map((child) => {
        child.kill("SIGTERM");
        return once(child, "exit");
      });
      await Promise.all(exits);
      store.close();
      await programs.stop();
    }
  }

  async #startPairs(
    programs: ProgramGroup,
    { store, pairs }: { store: StoreStandIn; pairs: FleetPair[] },
  ): Promise<void> {
    const { port: storePort } = await store.listen();
    const builds = this.builds.split(",");
    const routes = builds.flatMap((_, index) =>
      (["safe", "unsafe"] as const).map((kind) => ({
        host: BENCH_HOST,
        prefix: `/${kind}-${index}/`,
        kind,
        service: `ledger-${index}`,
      }))
    );
    store.write(MANIFEST_KIND, MANIFEST_NAME, createManifest(1, routes));
    if (this.profile !== undefined) {
      mkdirSync(this.profile, { recursive: true });
    }
    for (const [index, build] of builds.entries()) {
      pairs.push(
        await startFleetPair(programs, {
          build,
          index,
          storePort,
          profileFolder: this.profile,
        }),
      );
    }
  }

  async #measureAll(pairs: readonly FleetPair[]): Promise<void> {
    const load = { openCount: Number(this.open), durationMs: WARM_UP_MS };
    for (const [index, pair] of pairs.entries()) {
      await measure(pair, { ...load, index });
    }
    const roundsOf = pairs.map((): Round[] => []);
    for (let round = 0; round < Number(this.rounds); round++) {
      for (const [index, pair] of pairs.entries()) {
        const durationMs = Number(this.roundMs);
        roundsOf[index]?.push(
          await measure(pair, { ...load, index, durationMs }),
        );
      }
    }
    for (const [index, { build }] of pairs.entries()) {
      const rounds = roundsOf[index] ?? [];
      const ratios = formatRatios(rounds, roundsOf[0] ?? []);
      this.context.stdout.write(`${formatBuild(build, rounds)}\n${ratios}\n`);
    }
    const averages = loadavg().map((value) => value.toFixed(1)).join(" ");
    this.context.stdout.write(`load average at the end: ${averages}\n`);
  }
}

const cli = new Cli({ binaryName: "npm run bench:hop:fleet --" });
cli.register(FleetHopBench);
process.exit(await cli.run(process.argv.slice(2)));
