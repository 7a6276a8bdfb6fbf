/** Status of daemons as text. */
import type { ClassCounters, Status } from "../schemas/status_schema.ts";
import type { DaemonView } from "./daemon_client.ts";

const MS_PER_S = 1_000;
const DIGEST_SHOWN_LENGTH = 12;

/**
 * Aligns rows in columns.
 *
 * @param rows Cells; the first row is the heading.
 * @returns Lines.
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

function countMembers({ members }: Status): string {
  const counts = new Map<string, number>();
  members.forEach(({ state }) =>
    counts.set(state, (counts.get(state) ?? 0) + 1)
  );
  return [...counts].map(([state, count]) => `${count} ${state}`).join(", ");
}

/**
 * Describes one daemon.
 *
 * @param view Daemon with status or error.
 * @returns Lines.
 */
export function describeStatus(view: DaemonView): string[] {
  const { status } = view;
  if (status === undefined) {
    return [view.error ?? view.url];
  }
  const { config, admission } = status;
  const digest = config.digest.slice(0, DIGEST_SHOWN_LENGTH);
  const ageS = (config.confirmedAgeMs / MS_PER_S).toFixed(1);
  return [
    `${status.instanceId} in ${status.dataCentre}: ${status.state}`,
    `  configuration  generation ${config.generation} ${digest}, confirmed ${ageS} s ago`,
    `  admission      level ${admission.level} of 512, in flight ` +
    `${admission.inFlightCount} of ${admission.limitCount}, queue ${admission.queueCount}`,
    // A daemon lists itself, so the list is empty only when not asked for.
    ...status.members.length === 0
      ? []
      : [`  members        ${countMembers(status)}`],
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

/** Rates of one daemon since the view before, as cells. */
function rateCells(
  status: Status,
  before: Status | undefined,
  intervalMs: number,
): string[] {
  const now = sumCounters(status.counters);
  if (before?.incarnationEpochMs !== status.incarnationEpochMs) {
    return ["-", "-", "-"];
  }
  const then = sumCounters(before.counters);
  const rate = (delta: number) => (delta * MS_PER_S / intervalMs).toFixed(0);
  return [
    rate(now.offered - then.offered),
    rate(now.complete - then.complete),
    rate(now.notRun - then.notRun),
  ];
}

/**
 * Describes daemons as one table, the most loaded ones first.
 *
 * @param views Daemons.
 * @param options Views before and the time since them, for rates.
 * @returns Lines.
 */
export function describeTop(
  views: readonly DaemonView[],
  options: { before: readonly DaemonView[]; intervalMs: number },
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
  const rows = views
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
        options.before.find((view) =>
          view.status?.instanceId === status.instanceId
        )?.status,
        options.intervalMs,
      ),
    ]);
  const errors = views.flatMap(({ error }) => error ?? []);
  return [...alignColumns([heading, ...rows]), ...errors];
}
