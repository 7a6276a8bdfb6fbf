/**
 * The demo. Starts a small mesh of two data centres on this machine, overloads
 * it for a while and prints a table of the calls that were served and shed.
 *
 * Usage: `npm run demo`
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { DemoLoad, type DemoPhase, type DemoStream } from "./demo_load.ts";
import {
  changeBehaviour,
  type DemoMesh,
  drainDaemons,
  startMesh,
  waitUntilOk,
} from "./demo_mesh.ts";
import {
  formatEffectCheck,
  formatHeader,
  formatRecovery,
  formatSecond,
  formatTotals,
} from "./demo_report.ts";
import { ProgramGroup } from "./program_group.ts";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
// With its retries, a call can take several seconds.
const REPORT_DELAY_S = 4;

const STREAMS: readonly DemoStream[] = [
  {
    title: "enrolments (critical)",
    method: "POST",
    path: "/enrolments",
    keyed: true,
    triesMax: 3,
  },
  {
    title: "log reads (background)",
    method: "GET",
    path: "/logs/1",
    keyed: false,
    triesMax: 3,
  },
];

// Two certify upstreams with 4 slots of 40 ms serve 200 calls/s; 60 ms reduce
// that to 133 calls/s. The surge therefore offers about three times the capacity.
const NORMAL_SERVICE_MS = 40;
const SLOW_SERVICE_MS = 60;
const NORMAL_RATES_PER_S = [30, 60];
const SURGE_RATES_PER_S = [30, 370];

const EXPLANATION = `Offering calls to all daemons.
Enrolments (inscription) and log reads (logbook) both call certify. After 6 s
certify slows down and log reads surge to three times its capacity, and their
callers try three times. For each second in which the calls started:
- complete: the caller got its whole answer
- shed: refused, and nothing ran
- failed: the service ran and its call to certify was refused, or it was late
`;

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function applyTables(mesh: DemoMesh): Promise<void> {
  const tool = join(ROOT, "dist/src/cli/main.js");
  const daemons = mesh.instances.flatMap((
    one,
  ) => ["--daemon", one.operatorUrl]);
  const args = [
    "apply",
    ...["--routes", join(ROOT, "examples/demo/routes.jsonc")],
    ...["--pools", join(ROOT, "examples/demo/pools.jsonc")],
    ...["--platform", mesh.platformUrl, "--wait"],
    ...daemons,
  ];
  const child = spawn(process.execPath, [tool, ...args], {
    stdio: ["ignore", "ignore", "inherit"],
  });
  const [exitCode] = await once(child, "exit");
  if (exitCode !== 0) {
    throw new Error(`The tool ended with exit code ${exitCode}`);
  }
}

/**
 * Prints the counts of each second once most calls that started in it have
 * ended. Returns a function that prints the seconds that are left and stops.
 */
function printSeconds(load: DemoLoad, phaseTitle: () => string): () => void {
  let printedCount = 0;
  const titles: string[] = [];
  const print = (untilSecond: number) => {
    titles[load.secondsCount] ??= phaseTitle();
    for (; printedCount < untilSecond; printedCount++) {
      const title = titles[printedCount] ?? phaseTitle();
      printLine(formatSecond(printedCount, title, load.counts(printedCount)));
    }
  };
  const timer = setInterval(
    () => print(load.secondsCount - REPORT_DELAY_S),
    100,
  );
  return () => {
    clearInterval(timer);
    print(load.secondsCount);
  };
}

async function runPhases(mesh: DemoMesh): Promise<DemoLoad> {
  const load = new DemoLoad(
    STREAMS,
    mesh.instances.map((one) => one.callersUrl),
  );
  let title = "";
  const stopPrinting = printSeconds(load, () => title);
  const run = async (phase: DemoPhase, serviceMs: number) => {
    title = phase.title;
    await changeBehaviour(mesh, "certify", { serviceMs });
    await load.run(phase);
  };
  const normal = { ratesPerS: NORMAL_RATES_PER_S };
  const surge = { ratesPerS: SURGE_RATES_PER_S };
  await run(
    { title: "normal", durationMs: 6_000, ...normal },
    NORMAL_SERVICE_MS,
  );
  await run(
    { title: "overload", durationMs: 10_000, ...surge },
    SLOW_SERVICE_MS,
  );
  const overloadEndSecond = load.secondsCount;
  await run(
    { title: "normal", durationMs: 8_000, ...normal },
    NORMAL_SERVICE_MS,
  );
  const untilSecond = load.secondsCount;
  await load.finish();
  stopPrinting();
  printLine("");
  printLine(formatTotals(STREAMS, load));
  printLine(formatRecovery(load, overloadEndSecond, untilSecond));
  return load;
}

async function runDemo(programs: ProgramGroup, folder: string): Promise<void> {
  printLine("Starting a platform stand-in, 6 daemons and 6 upstreams ...");
  const mesh = await startMesh(programs, {
    writeSettings(instanceId, settings) {
      const file = join(folder, `${instanceId}.jsonc`);
      writeFileSync(file, JSON.stringify(settings, null, 2));
      return file;
    },
  });
  printLine(
    "Applying examples/demo/routes.jsonc and pools.jsonc with the tool ...",
  );
  await applyTables(mesh);
  const { instances } = mesh;
  await waitUntilOk(
    "ready",
    instances.map((one) => `${one.operatorUrl}/readyz`),
  );
  await waitUntilOk(
    "reachable",
    instances.map((one) => `${one.callersUrl}/logs/1`),
  );
  printLine(EXPLANATION);
  printLine(formatHeader(STREAMS));
  const load = await runPhases(mesh);
  printLine(await formatEffectCheck(mesh, load.completeKeys));
  const exitCodes = await drainDaemons(mesh);
  printLine(`Exit codes of the drained daemons: ${exitCodes.join(", ")}`);
}

async function main(): Promise<number> {
  const programs = new ProgramGroup();
  const folder = mkdtempSync(join(tmpdir(), "goldcrestrelay-demo-"));
  const interrupted = once(process, "SIGINT").then(() => {
    throw new Error("Interrupted");
  });
  try {
    await Promise.race([runDemo(programs, folder), interrupted]);
    return 0;
  } catch (error) {
    printLine(`The demo stopped: ${(error as Error).message}`);
    return 1;
  } finally {
    await programs.stop();
    rmSync(folder, { recursive: true });
  }
}

process.exit(await main());
