/** Cost of each role at the design size, computed from measured slopes. */
import { DATA_CENTRE_MEMBERS_COUNT, DESIGN_SIZE } from "./design_size.ts";
import { valueAt } from "./fit_line.ts";
import type { MeasuredStep, Slopes } from "./slopes_schema.ts";

/** Data centres of the measured fleets. */
const BENCH_DATA_CENTRES_COUNT = 3;
/**
 * Comparisons of configuration heads: a daemon starts one and answers one every
 * 2 s.
 */
const COMPARISONS_PER_S = 1;
const NEIGHBOURS_COUNT = 8;
const READERS_PER_DATA_CENTRE = 2;
/** Exchanges of a reader with other data centres: probes and comparisons. */
const REMOTE_EXCHANGES_PER_S = 3;
/**
 * Member updates per event: leaving, left and joined for a restart; suspect,
 * dead and joined for a failure.
 */
const UPDATES_PER_EVENT = 3;
const SHARDS_COUNT = 4;
/** One write removes the announcement of the old instance, one adds the new. */
const SHARD_WRITES_PER_EVENT = 2;
const MS_PER_S = 1_000;

const { changesPerS, restartsPerS, failuresPerS, routesCount } = DESIGN_SIZE;

/** Member updates per second in the whole fleet. */
export const UPDATES_PER_S = UPDATES_PER_EVENT * (restartsPerS + failuresPerS);

/** Cost of one role, without the roles that it adds to. */
export type RoleCost = {
  readonly messagesPerS: number;
  readonly bytesPerS: number;
  readonly coreRatio: number;
};

/** Measured cost of one exchange at one of its ends. */
export type ExchangeCost = {
  readonly bytes: number;
  /** Part of `bytes` outside the two envelopes of a probe. */
  readonly framingBytes: number;
  readonly cpuMs: number;
};

/** Largest measured fleet of processes. */
export function largestStep({ scale }: Slopes): MeasuredStep {
  return scale.steps.at(-1) as MeasuredStep;
}

/** Simulated data centre with the most members. */
export function largestSimulatedFleet({ membership }: Slopes) {
  return membership.fleets.at(-1) as Slopes["membership"]["fleets"][number];
}

/**
 * Divides the cost of control in the largest fleet of processes by the rate of
 * exchanges in the largest simulated data centre. Leases and platform calls are
 * included, so the result is an upper estimate.
 *
 * @param slopes Measured values.
 * @returns Cost of one exchange at one of its ends.
 */
export function exchangeCost(slopes: Slopes): ExchangeCost {
  const { coreRatio, offCoreRatio, bytesPerS } = largestStep(slopes);
  const { idleExchangesPerS, idleBytesPerS } = largestSimulatedFleet(slopes);
  const perS = idleExchangesPerS + COMPARISONS_PER_S;
  const bytes = bytesPerS.mean / perS;
  return {
    bytes,
    framingBytes: bytes - idleBytesPerS / idleExchangesPerS,
    cpuMs: (coreRatio.mean - offCoreRatio) * MS_PER_S / perS,
  };
}

function sumCosts(...costs: RoleCost[]): RoleCost {
  return costs.reduce((sum, cost) => ({
    messagesPerS: sum.messagesPerS + cost.messagesPerS,
    bytesPerS: sum.bytesPerS + cost.bytesPerS,
    coreRatio: sum.coreRatio + cost.coreRatio,
  }));
}

function exchangesCost(
  slopes: Slopes,
  perS: number,
  extra: { bytesPerS?: number; cpuMsPerS?: number } = {},
): RoleCost {
  const { bytes, cpuMs } = exchangeCost(slopes);
  return {
    messagesPerS: perS,
    bytesPerS: perS * bytes + (extra.bytesPerS ?? 0),
    coreRatio: (perS * cpuMs + (extra.cpuMsPerS ?? 0)) / MS_PER_S,
  };
}

/** Cost of floods: the framing is added to the measured envelopes. */
function floodsCost(
  slopes: Slopes,
  { perS, envelopeBytesPerS }: {
    perS: number;
    envelopeBytesPerS: number;
  },
): RoleCost {
  const bytesPerS = perS * exchangeCost(slopes).framingBytes +
    envelopeBytesPerS;
  return { ...exchangesCost(slopes, perS), bytesPerS };
}

/** Cost of the probes and comparisons of an idle daemon. */
export function idleCost(slopes: Slopes): RoleCost {
  const perS = largestSimulatedFleet(slopes).idleExchangesPerS +
    COMPARISONS_PER_S;
  return exchangesCost(slopes, perS);
}

/** Cost at one daemon of floods about restarts and failures in the fleet. */
export function updatesCost(slopes: Slopes): RoleCost {
  const { leave, start, kill } = largestSimulatedFleet(slopes);
  const records = slopes.membership.records.at(-1);
  const perS = (field: "pushesCount" | "bytes") =>
    restartsPerS * (leave[field] + start[field]) +
    failuresPerS * (kill[field] + start[field]);
  const floods = floodsCost(slopes, {
    perS: perS("pushesCount"),
    envelopeBytesPerS: perS("bytes"),
  });
  const applyMsPerS = UPDATES_PER_S * NEIGHBOURS_COUNT *
    (records?.updateMs ?? 0);
  const coreRatio = floods.coreRatio + applyMsPerS / MS_PER_S;
  return { ...floods, coreRatio };
}

/**
 * Cost of floods of configuration changes, which pass between the same
 * neighbours as member updates.
 */
export function changesCost(slopes: Slopes): RoleCost {
  const { sizes, perRoute } = slopes.config;
  const floodsPerS = changesPerS *
    largestSimulatedFleet(slopes).placement.pushesCount;
  return exchangesCost(slopes, floodsPerS, {
    bytesPerS: floodsPerS * (sizes.at(-1)?.stepBytes ?? 0),
    cpuMsPerS: changesPerS * valueAt(perRoute.stepApplyCpuMs, routesCount),
  });
}

/** Cost of every daemon, which is a member and an observer. */
export function daemonCost(slopes: Slopes): RoleCost {
  return sumCosts(idleCost(slopes), updatesCost(slopes), changesCost(slopes));
}

/** Additional cost of a daemon that is a reader of its data centre. */
export function readerCost(slopes: Slopes): RoleCost {
  const remoteReaders = READERS_PER_DATA_CENTRE *
    (DESIGN_SIZE.dataCentresCount - 1);
  const ownUpdatesPerS = UPDATES_PER_S / DESIGN_SIZE.dataCentresCount;
  const remoteUpdatesPerS = UPDATES_PER_S - ownUpdatesPerS;
  const pushesPerS = ownUpdatesPerS * remoteReaders +
    remoteUpdatesPerS * READERS_PER_DATA_CENTRE;
  const { placement } = largestSimulatedFleet(slopes);
  const pushBytes = placement.bytes / placement.pushesCount;
  // Per change the watch delivers the step and the acceptor's status.
  const watchBytes = 2 * (slopes.config.sizes.at(-1)?.stepBytes ?? 0);
  const watch = {
    messagesPerS: 2 * changesPerS,
    bytesPerS: changesPerS * watchBytes,
    coreRatio: 0,
  };
  return sumCosts(
    exchangesCost(slopes, REMOTE_EXCHANGES_PER_S),
    floodsCost(slopes, {
      perS: pushesPerS,
      envelopeBytesPerS: pushesPerS * pushBytes,
    }),
    watch,
  );
}

/** Bytes of both tables as the platform stores them. */
export function tablesBytes({ config }: Slopes): number {
  const { routesTableBytes, poolsTableBytes } = config.perRoute;
  return valueAt(routesTableBytes, routesCount) +
    valueAt(poolsTableBytes, routesCount);
}

/** Additional cost of a reader that is the acceptor. */
export function acceptorCost(slopes: Slopes): RoleCost {
  const { acceptCpuMs, routesTableBytes } = slopes.config.perRoute;
  // The watch delivers the whole changed table; the snapshot has both tables.
  const bytes = valueAt(routesTableBytes, routesCount) + tablesBytes(slopes);
  const cpuMs = valueAt(acceptCpuMs, routesCount);
  return {
    messagesPerS: changesPerS * 6,
    bytesPerS: changesPerS * bytes,
    coreRatio: changesPerS * cpuMs / MS_PER_S,
  };
}

/** Bytes of one shard of announcements. */
export function shardBytes({ membership }: Slopes): number {
  const bytes = membership.records.at(-1)?.storedMemberBytes ?? 0;
  return bytes * DATA_CENTRE_MEMBERS_COUNT / SHARDS_COUNT;
}

/** Additional cost of a reader that holds the announcements. */
export function announcementsCost(slopes: Slopes): RoleCost {
  const writesPerS = SHARD_WRITES_PER_EVENT *
    (restartsPerS + failuresPerS) / DESIGN_SIZE.dataCentresCount;
  return {
    messagesPerS: writesPerS,
    bytesPerS: writesPerS * shardBytes(slopes),
    coreRatio: 0,
  };
}

/** Calls of all daemons to the platform. */
export function platformCalls(slopes: Slopes) {
  const { platformReadsPerS, platformWritesPerS, waitingWatchesCount } =
    largestStep(slopes);
  const factor = DESIGN_SIZE.dataCentresCount / BENCH_DATA_CENTRES_COUNT;
  const announcements = SHARD_WRITES_PER_EVENT * (restartsPerS + failuresPerS);
  // Per change: the command-line tool reads three times and writes once, the
  // acceptor reads twice and writes three objects.
  return {
    readsPerS: platformReadsPerS * factor + changesPerS * 5,
    writesPerS: platformWritesPerS * factor + changesPerS * 4 + announcements,
    waitingWatchesCount: Math.ceil(waitingWatchesCount * factor),
    restartWritesPerS: SHARDS_COUNT,
  };
}

/** Memory that control adds to a daemon, by part, in bytes. */
export function addedMemory(slopes: Slopes) {
  const { recordBytes, records } = slopes.membership;
  const { usedBytes, offUsedBytes, daemonsCount } = largestStep(slopes);
  const measured = usedBytes.mean - offUsedBytes;
  const parts = {
    base: measured - recordBytes.slope * daemonsCount,
    records: records.at(-1)?.recordsBytes ?? 0,
    config: valueAt(slopes.config.perRoute.copyHeapBytes, routesCount),
  };
  return { ...parts, total: parts.base + parts.records + parts.config };
}

/**
 * Bytes of the list of members that the command-line tool reads to wait for all
 * daemons.
 */
export function membersListBytes({ membership }: Slopes): number {
  const bytes = membership.records.at(-1)?.statusMemberBytes ?? 0;
  return bytes * DESIGN_SIZE.endpointsCount;
}

/** Bytes of floods at one daemon when many members fail at once. */
export function failureFloodBytes(slopes: Slopes, lostCount: number): number {
  return largestSimulatedFleet(slopes).kill.bytes * lostCount;
}
