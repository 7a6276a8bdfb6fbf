/**
 * Load source: reads a load plan from standard input, offers the load and
 * prints the results as one JSON document.
 */
import { text } from "node:stream/consumers";
import process from "node:process";
import { SeededRandom } from "../../src/core/random.ts";
import { CallStream } from "./call_stream.ts";
import { loadPlanSchema } from "./load_plan.ts";

const TICK_INTERVAL_MS = 2;

const plan = loadPlanSchema.parse(JSON.parse(await text(process.stdin)));
const endMs = Math.max(
  ...plan.streams.flatMap((stream) =>
    stream.phases.map((phase) => phase.untilMs)
  ),
);
const streams = plan.streams.map((stream, index) =>
  new CallStream(stream, plan, new SeededRandom(plan.seed + index))
);

const timer = setInterval(() => {
  const nowMs = Date.now() - plan.startWallMs;
  if (nowMs < 0) {
    return;
  }
  for (const stream of streams) {
    stream.startDue(nowMs);
  }
  const idle = streams.every((stream) => stream.activeCount === 0);
  if (nowMs > endMs && idle) {
    clearInterval(timer);
    void printResults();
  }
}, TICK_INTERVAL_MS);

async function printResults(): Promise<void> {
  const results = await Promise.all(streams.map((stream) => stream.finish()));
  process.stdout.write(JSON.stringify(results));
}
