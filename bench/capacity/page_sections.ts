/** Generated sections of docs/CAPACITY.md. */
import { formatTable } from "../../src/reference_pages/markdown_table.ts";
import {
  DATA_CENTRE_MEMBERS_COUNT,
  DESIGN_SIZE,
  LIMITS,
  REGION_MEMBERS_COUNT,
} from "./design_size.ts";
import {
  acceptorCost,
  addedMemory,
  announcementsCost,
  changesCost,
  daemonCost,
  exchangeCost,
  failureFloodBytes,
  idleCost,
  largestSimulatedFleet,
  largestStep,
  membersListBytes,
  platformCalls,
  readerCost,
  type RoleCost,
  shardBytes,
  tablesBytes,
  updatesCost,
} from "./model.ts";
import type { Slopes } from "./slopes_schema.ts";

const BYTES_PER_MB = 1_048_576;
const BYTES_PER_KB = 1_024;

function percent(ratio: number): string {
  return `${(ratio * 100).toFixed(2)}%`;
}

function megabytes(bytes: number): string {
  return `${(bytes / BYTES_PER_MB).toFixed(1)} MB`;
}

function kilobytes(bytes: number): string {
  return `${(bytes / BYTES_PER_KB).toFixed(1)} KB`;
}

function milliseconds(valueMs: number): string {
  return `${valueMs.toFixed(valueMs < 10 ? 2 : 0)} ms`;
}

function rate(perS: number): string {
  return perS.toFixed(2);
}

/** Formats the ratio between a value and its limit. */
function margin(value: number, limit: number): string {
  const [ratio, side] = value <= limit
    ? [limit / value, "below"]
    : [value / limit, "over"];
  return `${ratio.toFixed(2)} times ${side}`;
}

function costCells({ messagesPerS, bytesPerS, coreRatio }: RoleCost): string[] {
  return [
    rate(messagesPerS),
    `${kilobytes(bytesPerS)}/s`,
    percent(coreRatio),
  ];
}

function describeRuns(slopes: Slopes): string {
  const runs = Object.values(slopes).map(({ run }) => run);
  return formatTable(
    ["command", "date", "load average", "processors", "commit"],
    runs.map((run) => [
      `\`${run.command}\``,
      run.date,
      run.loadAverage.toFixed(1),
      String(run.processorsCount),
      run.commit,
    ]),
  );
}

function describeSteps({ scale }: Slopes): string {
  const delays = (values: { median: number; worst: number }) =>
    `${values.median.toFixed(0)} / ${values.worst.toFixed(0)} ms`;
  return formatTable(
    [
      "daemons",
      "core, mean / max",
      "core, control off",
      "bytes/s in / out",
      "resident",
      "heap + external, on / off",
      "platform reads / writes a second",
      "watches",
      "in force, median / worst",
      "drain",
      "kill",
      "load",
    ],
    scale.steps.map((step) => [
      String(step.daemonsCount),
      `${percent(step.coreRatio.mean)} / ${percent(step.coreRatio.max)}`,
      percent(step.offCoreRatio),
      `${step.receivedBytesPerS.mean.toFixed(0)} / ${
        step.sentBytesPerS.mean.toFixed(0)
      }`,
      megabytes(step.residentBytes.mean),
      `${megabytes(step.usedBytes.mean)} / ${megabytes(step.offUsedBytes)}`,
      `${rate(step.platformReadsPerS)} / ${rate(step.platformWritesPerS)}`,
      String(step.waitingWatchesCount),
      delays(step.configMs),
      delays(step.drainMs),
      delays(step.killMs),
      step.loadAverage.toFixed(1),
    ]),
  );
}

function describeFits({ scale, membership, config }: Slopes): string {
  const fits = [
    ...Object.entries(scale.perDaemon).map(([name, fit]) =>
      [`${name}, per daemon`, fit] as const
    ),
    ["recordsBytes, per member", membership.recordBytes] as const,
    ...Object.entries(config.perRoute).map(([name, fit]) =>
      [`${name}, per route`, fit] as const
    ),
  ];
  return formatTable(
    ["value", "slope", "standard error", "intercept"],
    fits.map(([name, { slope, slopeError, intercept }]) => [
      name,
      slope.toPrecision(3),
      slopeError.toPrecision(2),
      intercept.toPrecision(3),
    ]),
  );
}

function describeEvents({ membership }: Slopes): string {
  const rows = membership.fleets.flatMap((fleet) =>
    (["placement", "leave", "start", "kill"] as const).map((name) => [
      String(fleet.membersCount),
      name,
      fleet[name].pushesCount.toFixed(1),
      fleet[name].bytes.toFixed(0),
      milliseconds(fleet[name].lastMs),
    ])
  );
  return formatTable(
    ["members", "event", "floods a daemon", "bytes a daemon", "last daemon"],
    rows,
  );
}

function describeRoles(slopes: Slopes): string {
  const memory = addedMemory(slopes);
  const platform = platformCalls(slopes);
  const shard = kilobytes(shardBytes(slopes));
  const none = ["-", "-", "-"];
  const rows = [
    [
      "every daemon",
      `${DESIGN_SIZE.endpointsCount} records, both tables, eight neighbours`,
      ...costCells(daemonCost(slopes)),
      megabytes(memory.total),
    ],
    [
      "of it probes and comparisons",
      "4 observed, 4 observers",
      ...costCells(idleCost(slopes)),
      megabytes(memory.base),
    ],
    [
      "of it restarts and failures",
      "records",
      ...costCells(updatesCost(slopes)),
      megabytes(memory.records),
    ],
    [
      "of it configuration changes",
      "tables",
      ...costCells(changesCost(slopes)),
      megabytes(memory.config),
    ],
    [
      "reader, in addition",
      "lease, watch",
      ...costCells(readerCost(slopes)),
      "-",
    ],
    [
      "acceptor, in addition",
      `${kilobytes(tablesBytes(slopes))} of tables`,
      ...costCells(acceptorCost(slopes)),
      "-",
    ],
    [
      "holder of the announcements, in addition",
      `4 shards of ${shard}`,
      ...costCells(announcementsCost(slopes)),
      "-",
    ],
    [
      "tool, one wait for all daemons",
      `one list of members of ${megabytes(membersListBytes(slopes))}`,
      ...none,
      megabytes(membersListBytes(slopes)),
    ],
    [
      "platform",
      `${platform.waitingWatchesCount} waiting watches`,
      `${rate(platform.readsPerS)} reads, ${rate(platform.writesPerS)} writes`,
      "-",
      "-",
      "-",
    ],
  ];
  const header = ["role", "state", "messages/s", "bytes", "core", "memory"];
  return formatTable(header, rows);
}

function describeMargins(slopes: Slopes): string {
  const daemon = daemonCost(slopes);
  const reader = readerCost(slopes);
  const acceptor = acceptorCost(slopes);
  const memory = addedMemory(slopes).total;
  const platform = platformCalls(slopes);
  const calls = platform.readsPerS + platform.waitingWatchesCount;
  const worstConfigMs = largestStep(slopes).configMs.worst;
  const total = (field: "bytesPerS" | "coreRatio") =>
    daemon[field] + reader[field] + acceptor[field];
  const rows: [string, string, string, string][] = [
    [
      "processor time, daemon",
      percent(daemon.coreRatio),
      percent(LIMITS.coreRatio),
      margin(daemon.coreRatio, LIMITS.coreRatio),
    ],
    [
      "processor time, reader and acceptor",
      percent(total("coreRatio")),
      percent(LIMITS.coreRatio),
      margin(total("coreRatio"), LIMITS.coreRatio),
    ],
    [
      "memory, daemon",
      megabytes(memory),
      megabytes(LIMITS.addedBytes),
      margin(memory, LIMITS.addedBytes),
    ],
    [
      "bytes, daemon",
      `${kilobytes(daemon.bytesPerS)}/s`,
      `${kilobytes(LIMITS.bytesPerS)}/s`,
      margin(daemon.bytesPerS, LIMITS.bytesPerS),
    ],
    [
      "bytes, reader and acceptor",
      `${kilobytes(total("bytesPerS"))}/s`,
      `${kilobytes(LIMITS.bytesPerS)}/s`,
      margin(total("bytesPerS"), LIMITS.bytesPerS),
    ],
    [
      "platform writes",
      `${rate(platform.writesPerS)}/s`,
      `${LIMITS.platformWritesPerS}/s`,
      margin(platform.writesPerS, LIMITS.platformWritesPerS),
    ],
    [
      "platform reads and watches",
      rate(calls),
      `${LIMITS.platformCallsPerS}/s`,
      margin(calls, LIMITS.platformCallsPerS),
    ],
    [
      `accepted to in force, worst of ${largestStep(slopes).daemonsCount}`,
      milliseconds(worstConfigMs),
      milliseconds(LIMITS.configMs),
      margin(worstConfigMs, LIMITS.configMs),
    ],
    ...hopMargins(slopes),
  ];
  return formatTable(["value", "at design size", "limit", "margin"], rows);
}

function hopMargins({ hop }: Slopes): [string, string, string, string][] {
  return (hop?.rates ?? []).map(({ ratePerS, addedP99Ms }) => [
    `added to a call, 99 in 100, at ${ratePerS} calls/s`,
    milliseconds(addedP99Ms),
    milliseconds(LIMITS.addedP99Ms),
    margin(addedP99Ms, LIMITS.addedP99Ms),
  ]);
}

function describeSimultaneousFailures(slopes: Slopes): string {
  const failures: [string, number][] = [
    ["one instance", 1],
    ["a rack (assumed)", DESIGN_SIZE.rackInstancesCount],
    ["a data centre", DATA_CENTRE_MEMBERS_COUNT],
    ["a region", REGION_MEMBERS_COUNT],
  ];
  return formatTable(
    ["lost at once", "instances", "floods at a daemon, without batches"],
    failures.map(([name, count]) => [
      name,
      String(count),
      kilobytes(failureFloodBytes(slopes, count)),
    ]),
  );
}

function describeExchange(slopes: Slopes): string {
  const { bytes, cpuMs } = exchangeCost(slopes);
  const { membersCount, idleExchangesPerS, idleBytesPerS, codecMs } =
    largestSimulatedFleet(slopes);
  const perExchange = idleBytesPerS / idleExchangesPerS;
  return formatTable(["value", "figure"], [
    ["exchanges a second at a daemon, simulated", rate(idleExchangesPerS)],
    ["members of that simulated data centre", String(membersCount)],
    ["bytes of an exchange with its envelopes", perExchange.toFixed(0)],
    ["bytes of an exchange at the sockets", bytes.toFixed(0)],
    ["processor time of an exchange at one end", milliseconds(cpuMs)],
    ["of it codec of one message, both ends", milliseconds(codecMs)],
  ]);
}

/**
 * Lists the generators of the page's sections.
 *
 * @param slopes Measured values.
 * @returns Generators by name, for `fillSections`.
 */
export function capacitySections(
  slopes: Slopes,
): Readonly<Record<string, () => string>> {
  return {
    runs: () => describeRuns(slopes),
    roles: () => describeRoles(slopes),
    margins: () => describeMargins(slopes),
    cuts: () => describeSimultaneousFailures(slopes),
    steps: () => describeSteps(slopes),
    fits: () => describeFits(slopes),
    events: () => describeEvents(slopes),
    exchange: () => describeExchange(slopes),
  };
}
