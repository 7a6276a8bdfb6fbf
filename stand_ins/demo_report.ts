/** Texts of the table and the summary that the demo prints. */
import { request } from "undici";
import { z } from "zod";
import type { DemoCounts, DemoLoad, DemoStream } from "./demo_load.ts";
import type { DemoMesh } from "./demo_mesh.ts";
import { requestRecordSchema } from "./upstream_settings.ts";

const COLUMNS = ["offered", "complete", "shed", "failed"] as const;
const NUMBER_WIDTH = 9;
const TITLE_WIDTH = 10;

function formatCounts(counts: DemoCounts): string {
  return [
    counts.offeredCount,
    counts.completeCount,
    counts.shedCount,
    counts.failedCount,
  ].map((count) => String(count).padStart(NUMBER_WIDTH)).join("");
}

/**
 * Formats the header of the table.
 *
 * @param streams Streams in the order of the columns.
 * @returns Two lines.
 */
export function formatHeader(streams: readonly DemoStream[]): string {
  const width = COLUMNS.length * NUMBER_WIDTH;
  const indent = " ".repeat(TITLE_WIDTH + 4);
  const titles = streams.map(({ title }) => title.padStart(width)).join(" |");
  const names = COLUMNS.map((name) => name.padStart(NUMBER_WIDTH)).join("");
  return `${indent}${titles}\n${" s  phase".padEnd(indent.length)}${
    streams.map(() => names).join(" |")
  }`;
}

/**
 * Formats the counts of one second.
 *
 * @param second Second since the start.
 * @param phase Title of the phase.
 * @param counts Counts by stream.
 * @returns One line.
 */
export function formatSecond(
  second: number,
  phase: string,
  counts: readonly DemoCounts[],
): string {
  const time = String(second).padStart(2);
  return `${time}  ${phase.padEnd(TITLE_WIDTH)}${
    counts.map(formatCounts).join(" |")
  }`;
}

/**
 * Formats the totals of the whole run.
 *
 * @param streams Streams.
 * @param load Load with its counts by second.
 * @returns One line for each stream.
 */
export function formatTotals(
  streams: readonly DemoStream[],
  load: DemoLoad,
): string {
  return streams.map(({ title }, index) => {
    const sums = { offeredCount: 0, completeCount: 0, shedCount: 0 };
    for (let second = 0; second <= load.secondsCount; second++) {
      const counts = load.counts(second)[index];
      sums.offeredCount += counts?.offeredCount ?? 0;
      sums.completeCount += counts?.completeCount ?? 0;
      sums.shedCount += counts?.shedCount ?? 0;
    }
    const share = 100 * sums.completeCount / Math.max(1, sums.offeredCount);
    return `${title}: ${sums.completeCount} of ${sums.offeredCount} complete ` +
      `(${share.toFixed(1)} %), ${sums.shedCount} shed`;
  }).join("\n");
}

/** Share of a second's offered calls that must be complete after recovery. */
const RECOVERED_RATIO = 0.95;

/**
 * Formats the time that the goodput took to recover.
 *
 * @param load Load with its counts by second.
 * @param overloadEndSecond Second in which the overload ended.
 * @param untilSecond Second after the last one to consider.
 * @returns One line.
 */
export function formatRecovery(
  load: DemoLoad,
  overloadEndSecond: number,
  untilSecond: number,
): string {
  let second = untilSecond;
  while (second > overloadEndSecond && isRecovered(load.counts(second - 1))) {
    second--;
  }
  return second === untilSecond
    ? "Not recovered by the end of the demo"
    : `Recovered ${second - overloadEndSecond} s after the end of the overload`;
}

function isRecovered(counts: readonly DemoCounts[]): boolean {
  return counts.every(({ completeCount, offeredCount }) =>
    completeCount >= offeredCount * RECOVERED_RATIO
  );
}

/**
 * Compares the complete enrolments with those that the upstreams ran.
 *
 * @param mesh Running mesh.
 * @param completeKeys Keys whose answer was complete.
 * @returns One line.
 */
export async function formatEffectCheck(
  mesh: DemoMesh,
  completeKeys: readonly string[],
): Promise<string> {
  const upstreams = mesh.instances.filter((one) =>
    one.service === "inscription"
  );
  const lists = await Promise.all(upstreams.map(async ({ controlUrl }) => {
    const answer = await request(`${controlUrl}/effects`);
    return z.array(requestRecordSchema).parse(await answer.body.json());
  }));
  const counts = new Map<string, number>();
  for (const { key, effect } of lists.flat()) {
    counts.set(key, (counts.get(key) ?? 0) + (effect ? 1 : 0));
  }
  const repeatedCount = [...counts.values()].filter((one) => one > 1).length;
  const lostCount = completeKeys.filter((key) => counts.get(key) !== 1).length;
  return `Enrolments that ran more than once: ${repeatedCount}; ` +
    `answered complete without having run once: ${lostCount}`;
}
