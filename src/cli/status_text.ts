/** Formats the status of daemons as text. */
import type { ClassCounters, Status } from "../schemas/status_schema.ts";
import type { StatusResult } from "./daemon_client.ts";

const MS_PER_S = 1_000;
const DIGEST_PREFIX_LENGTH = 12;

/**
 * Pads the cells of a table so that its columns are aligned.
 *
 * @param rows Rows of cells; the first row is the heading.
 * @returns One line for each row.
 *
 * @example
 * alignColumns([["a", "b"], ["10", "2"]]); // ["a   b", "10  2"]
 */
export function alignColumns(rows: readonly (readonly string[])[]): string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join("  ").trimEnd()
  );
}

function describeMemberCounts({ members }: Status): string {
  const counts = new Map<string, number>();
  members.forEach(({ state }) =>
    counts.set(state, (counts.get(state) ?? 0) + 1)
  );
  return [...counts].map(([state, count]) => `${count} ${state}`).join(", ");
}

/**
 * Formats the status of one daemon.
 *
 * @param result Status, or the reason why it could not be read.
 * @returns Lines of text.
 */
export function describeStatus(result: StatusResult): string[] {
  const { status } = result;
  if (status === undefined) {
    return [result.error ?? result.url];
  }
  const { config, admission } = status;
  const digest = config.digest.slice(0, DIGEST_PREFIX_LENGTH);
  const ageS = (config.confirmedAgeMs / MS_PER_S).toFixed(1);
  return [
    `${status.instanceId} in ${status.dataCentre}: ${status.state}`,
    `  configuration  generation ${config.generation} ${digest}, confirmed ${ageS} s ago`,
    `  admission      level ${admission.level} of 512, in flight ` +
    `${admission.inFlightCount} of ${admission.limitCount}, queue ${admission.queueCount}`,
    // A daemon lists itself, so the list is empty only if it was not requested.
    ...status.members.length === 0
      ? []
      : [`  members        ${describeMemberCounts(status)}`],
    ...status.leases.map(({ name, state, holder = "unknown" }) =>
      `  lease          ${name}: ${state}, holder ${holder}`
    ),
  ];
}

function sumCounters(
  counters: readonly ClassCounters[] = [],
): { offered: number; complete: number; notRun: number } {
  return counters.reduce((sum, item) => ({
    offered: sum.offered + item.offeredCount,
    complete: sum.complete + item.completeCount,
    notRun: sum.notRun + item.notRunCount,
  }), { offered: 0, complete: 0, notRun: 0 });
}

/**
 * Formats the request rates of one daemon since its previous status; `-` when
 * there is none, or after a restart of the daemon, which resets its counters.
 */
function rateCells(
  status: Status,
  previous: Status | undefined,
  intervalMs: number,
): string[] {
  const sums = sumCounters(status.counters);
  if (previous?.incarnationEpochMs !== status.incarnationEpochMs) {
    return ["-", "-", "-"];
  }
  const previousSums = sumCounters(previous.counters);
  const rate = (delta: number) => (delta * MS_PER_S / intervalMs).toFixed(0);
  return [
    rate(sums.offered - previousSums.offered),
    rate(sums.complete - previousSums.complete),
    rate(sums.notRun - previousSums.notRun),
  ];
}

/**
 * Formats daemons as one table in ascending order of admission level: the lower
 * the level, the more a daemon sheds, so the most loaded daemons come first.
 *
 * @param results Statuses, or the reasons why they could not be read.
 * @param options Previous results, for the rates, and the pause in ms between
 * the two reads.
 * @returns Lines of text: the table, then the errors.
 */
export function describeTop(
  results: readonly StatusResult[],
  options: { previous: readonly StatusResult[]; intervalMs: number },
): string[] {
  const heading = [
    "INSTANCE",
    "STATE",
    "GEN",
    "LEVEL",
    "IN FLIGHT",
    "LIMIT",
    "QUEUE",
    "OFFERED/S",
    "COMPLETE/S",
    "NOT RUN/S",
  ];
  const rows = results
    .flatMap(({ status }) => status ?? [])
    .sort((a, b) => a.admission.level - b.admission.level)
    .map((status) => [
      status.instanceId,
      status.state,
      String(status.config.generation),
      String(status.admission.level),
      String(status.admission.inFlightCount),
      String(status.admission.limitCount),
      String(status.admission.queueCount),
      ...rateCells(
        status,
        options.previous.find((result) =>
          result.status?.instanceId === status.instanceId
        )?.status,
        options.intervalMs,
      ),
    ]);
  const errors = results.flatMap(({ error }) => error ?? []);
  return [...alignColumns([heading, ...rows]), ...errors];
}
