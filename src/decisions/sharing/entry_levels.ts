/**
 * Admission levels of the pools, from their load and the offered requests. A
 * run is one execution of a request by an upstream.
 */
import { MovingAverage } from "../moving_average.ts";
import { divideFairly, type FlowDemands } from "./fair_share.ts";

/** Load of a pool and the runs that this daemon's callers offer to it. */
export type PoolLoad = {
  /** Running and waiting requests per slot; over 1 when requests wait. */
  readonly busyRatio: number;
  /**
   * Offered runs per priority class, most important first, as counts or as
   * rates; only their ratios matter.
   */
  readonly offered: readonly number[];
  /**
   * Returns the offered runs of a class by flow. It is called only for a class
   * that is admitted in part; without it, all of its requests are admitted alike.
   */
  readonly demandsOf?: (priority: number) => FlowDemands;
  /**
   * Share that is derived from the capacity of the pool, with the offered runs
   * of all daemons by class; undefined when the busy ratio controls it.
   */
  readonly coordinated?: CoordinatedLoad | undefined;
};

/** Load of a pool that all daemons know. */
export type CoordinatedLoad = {
  /** Admitted share of the offered runs, from 0 to 1. */
  readonly admittedRatio: number;
  readonly offered: readonly number[];
};

/** Request that a pool admits or refuses. */
export type RankedRequest = {
  readonly priority: number;
  /** Random number in `[0, 1)`, the same for all pools that the request uses. */
  readonly sample: number;
  /** Name of its flow; undefined when its class has none. */
  readonly flowName?: string | undefined;
};

/** Admitted part of the offered requests of a pool. */
export type PoolAdmission = {
  /** Number of admitted classes, with a fraction for a part of one. */
  readonly level: number;
  /** Share of each class that is admitted whatever the level is. */
  readonly sharedRatio: number;
};

type PoolLevel = {
  admission: PoolAdmission | undefined;
  /** Admitted share of each flow of the class that is admitted in part. */
  flowRatios: ReadonlyMap<string, number> | undefined;
  isShedding: boolean;
  /** Mean share of the offered runs that was admitted. */
  readonly meanAdmittedRatio: MovingAverage;
};

/** Target share of busy slots. */
const BUSY_TARGET_RATIO = 0.97;
/** Lower bound of the busy ratio by which the target is divided. */
const BUSY_MIN_RATIO = 0.01;
/**
 * Weight of the newest value in the mean admitted share to which the load is
 * attributed. A request makes calls for about one second; the mean covers more,
 * so that the level does not oscillate.
 */
const ADMITTED_WEIGHT = 0.08;
/**
 * Gain of the decrease, per waiting request per slot. A smaller gain leaves the
 * queues full for seconds after a burst; a larger gain makes the level
 * oscillate.
 */
const WAITING_GAIN = 0.4;
const CORRECTION_MIN = 0.5;
/** Largest factor; a larger one makes the level oscillate. */
const CORRECTION_MAX = 1.15;
/**
 * Smallest share of the offered runs that is admitted, because no factor raises
 * 0 runs.
 */
const ADMITTED_MIN_RATIO = 0.01;
/**
 * Share of the admitted runs that all classes share evenly, so that no class is
 * starved and each one shows when the pool can take more of it.
 */
const SHARED_CAPACITY_RATIO = 0.3;
/** Largest share of each class that is admitted in this way. */
const SHARED_MAX_RATIO = 0.12;

/** Ratio of the runs for the target load to the runs that caused the load. */
function correctionFor(busyRatio: number): number {
  if (busyRatio > 1) {
    const factor = BUSY_TARGET_RATIO / (1 + WAITING_GAIN * (busyRatio - 1));
    return Math.max(CORRECTION_MIN, factor);
  }
  return Math.min(
    CORRECTION_MAX,
    BUSY_TARGET_RATIO / Math.max(busyRatio, BUSY_MIN_RATIO),
  );
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/**
 * Returns the admission that admits a given share of the offered runs.
 *
 * @param admittedRatio Share, in `(0, 1]`.
 * @param offered Offered runs per priority class, most important first.
 * @returns Level and evenly shared part.
 */
export function admissionFor(
  admittedRatio: number,
  offered: readonly number[],
): PoolAdmission {
  // A rounding error of the level would count as shedding.
  if (admittedRatio === 1) {
    return { level: offered.length, sharedRatio: SHARED_MAX_RATIO };
  }
  const sharedRatio = Math.min(
    SHARED_MAX_RATIO,
    SHARED_CAPACITY_RATIO * admittedRatio,
  );
  const byLevelRatio = (admittedRatio - sharedRatio) / (1 - sharedRatio);
  return {
    level: levelFor(byLevelRatio * sumOf(offered), offered),
    sharedRatio,
  };
}

/**
 * Decides on a request. Those outside the evenly shared part get ranks that are
 * uniformly distributed over the range of their class,
 * `[priority, priority + 1)`, so that a level with a fraction admits part of a
 * class.
 *
 * @param admission Admission of the pool.
 * @param request Its class, a random number in `[0, 1)`, and the admitted share
 *   of its flow if the class is divided.
 * @returns True when the request is admitted.
 */
export function isAdmitted(
  { level, sharedRatio }: PoolAdmission,
  { priority, sample, flowRatio }: {
    priority: number;
    sample: number;
    flowRatio?: number | undefined;
  },
): boolean {
  if (sample < sharedRatio) {
    return true;
  }
  const rank = (sample - sharedRatio) / (1 - sharedRatio);
  return flowRatio === undefined ? priority + rank < level : rank < flowRatio;
}

/** Level that admits a given number of the offered runs. */
function levelFor(runs: number, offered: readonly number[]): number {
  let left = runs;
  for (let priority = 0; priority < offered.length; priority++) {
    const classRuns = offered[priority] as number;
    if (left < classRuns) {
      return priority + left / classRuns;
    }
    left -= classRuns;
  }
  return offered.length;
}

/**
 * Divides the room of the class that is admitted in part among its flows, so
 * that a flow that needs little is not refused for the sake of a large one.
 */
function flowRatiosFor(
  level: number,
  { offered, demandsOf }: PoolLoad,
): ReadonlyMap<string, number> | undefined {
  const priority = Math.floor(level);
  const demands = priority < offered.length ? demandsOf?.(priority) : undefined;
  if (demands === undefined || demands.size < 2) {
    return undefined;
  }
  const room = (level - priority) * (offered[priority] ?? 0);
  return new Map(
    divideFairly(demands, room).map((flow) => [flow.name, flow.admittedRatio]),
  );
}

/**
 * Keeps the admission of each pool: a level, the number of classes, counted from
 * the most important one, that are admitted, and a small share of all classes.
 * The recently admitted runs are scaled by the ratio of target to load, so that
 * the level settles without oscillation although the load lags behind the
 * admission.
 *
 * @example
 * levels.step("plates", { busyRatio: 1.4, offered: [10, 4, 30] });
 * levels.level("plates"); // less than 3
 */
export class EntryLevels {
  readonly #pools = new Map<string, PoolLevel>();

  /**
   * Adjusts the admission of a pool; called once per control interval of 100 ms.
   *
   * @param name Name of the pool.
   * @param load Load and offered runs.
   * @returns The new level.
   */
  step(name: string, load: PoolLoad): number {
    const { busyRatio, coordinated } = load;
    const offered = coordinated?.offered ?? load.offered;
    const classesCount = offered.length;
    const pool = this.#poolOf(name);
    const admittedRatio = coordinated?.admittedRatio ?? Math.min(
      1,
      Math.max(
        ADMITTED_MIN_RATIO,
        pool.meanAdmittedRatio.value * correctionFor(busyRatio),
      ),
    );
    const admission = admissionFor(admittedRatio, offered);
    pool.admission = admission;
    pool.flowRatios = flowRatiosFor(admission.level, load);
    pool.isShedding = admission.level < classesCount;
    pool.meanAdmittedRatio.add(admittedRatio);
    return admission.level;
  }

  /**
   * Forgets the admission of a pool that no request uses any more.
   *
   * @param name Name of the pool.
   */
  forget(name: string): void {
    this.#pools.delete(name);
  }

  /**
   * Decides whether a pool admits a request.
   *
   * @param name Name of the pool.
   * @param request Its class, its flow and a random number.
   * @returns True when it is admitted, and before the first step.
   */
  admits(name: string, { priority, sample, flowName }: RankedRequest): boolean {
    const pool = this.#pools.get(name);
    const admission = pool?.admission;
    if (admission === undefined) {
      return true;
    }
    const flowRatio =
      priority === Math.floor(admission.level) && flowName !== undefined
        ? pool?.flowRatios?.get(flowName)
        : undefined;
    return isAdmitted(admission, { priority, sample, flowRatio });
  }

  /**
   * Returns the level of a pool.
   *
   * @param name Name of the pool.
   * @returns Number of admitted classes; undefined before the first step.
   */
  level(name: string): number | undefined {
    return this.#pools.get(name)?.admission?.level;
  }

  /**
   * Returns whether a pool admits only a part of the offered requests.
   *
   * @param name Name of the pool.
   * @returns True when its level is below the number of classes.
   */
  isShedding(name: string): boolean {
    return this.#pools.get(name)?.isShedding ?? false;
  }

  #poolOf(name: string): PoolLevel {
    let pool = this.#pools.get(name);
    if (pool === undefined) {
      pool = {
        admission: undefined,
        flowRatios: undefined,
        isShedding: false,
        meanAdmittedRatio: new MovingAverage(ADMITTED_WEIGHT, 1),
      };
      this.#pools.set(name, pool);
    }
    return pool;
  }
}
