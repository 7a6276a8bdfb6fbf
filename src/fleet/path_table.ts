/** Paths to the upstreams of each pool, with the run times that they had. */
import type { RandomSource } from "../core/random.ts";
import { MovingAverage } from "../decisions/moving_average.ts";
import { choosePath, type PathView } from "../decisions/choose_path.ts";
import type { UpstreamPath } from "../link/upstream_path.ts";

const RUN_TIME_WEIGHT = 0.1;
/**
 * Cost of a request to another data centre, as a share of its remaining time.
 * Traffic between data centres is paid for, but a chain of calls that is late
 * needs the fastest upstreams.
 */
const REMOTE_PENALTY_RATIO = 0.06;
const REMOTE_PENALTY_MAX_MS = 60;

/** Options of {@link PathTable}. */
export type PathTableOptions = {
  ownDataCentre: string;
  random: RandomSource;
};

/** Holds the paths of each pool and chooses one for a request. */
export class PathTable {
  readonly #options: PathTableOptions;
  readonly #byPool = new Map<string, Set<UpstreamPath>>();
  readonly #runMs = new WeakMap<UpstreamPath, Map<string, MovingAverage>>();

  /**
   * @param options Data centre of this daemon and random numbers.
   */
  constructor(options: PathTableOptions) {
    this.#options = options;
  }

  /**
   * Adds a path under its member's pool.
   *
   * @param path Path to an upstream.
   */
  add(path: UpstreamPath): void {
    const { pool } = path.member;
    const paths = this.#byPool.get(pool) ?? new Set();
    paths.add(path);
    this.#byPool.set(pool, paths);
  }

  /**
   * Removes a path.
   *
   * @param path Path that was added before.
   */
  remove(path: UpstreamPath): void {
    for (const paths of this.#byPool.values()) {
      paths.delete(path);
    }
  }

  /**
   * Lists the paths to the upstreams of a pool.
   *
   * @param pool Name of the pool.
   * @returns Paths, serving or not.
   */
  pathsOf(pool: string): Iterable<UpstreamPath> {
    return this.#byPool.get(pool) ?? [];
  }

  /**
   * Chooses the path of a request.
   *
   * @param pool Pool that runs the request.
   * @param options Route, time until the deadline in ms, and names of the
   *   members that were tried before.
   * @returns The path; undefined when no untried upstream serves.
   */
  choose(
    pool: string,
    options: {
      routeName: string;
      remainingMs: number;
      tried: ReadonlySet<string>;
    },
  ): UpstreamPath | undefined {
    const preferred: UpstreamPath[] = [];
    const avoided: UpstreamPath[] = [];
    for (const path of this.pathsOf(pool)) {
      const { state } = path;
      if (state?.isServing !== true || options.tried.has(path.member.name)) {
        continue;
      }
      // A daemon that is stopping or may be cut off is used only when there is
      // no other one.
      const isAvoided = state.isStopping || path.isSuspect;
      (isAvoided ? avoided : preferred).push(path);
    }
    const paths = preferred.length > 0 ? preferred : avoided;
    const views = paths.map((path) => this.#view(path, options.routeName));
    const index = choosePath(views, {
      random: this.#options.random,
      remotePenaltyMs: Math.min(
        REMOTE_PENALTY_MAX_MS,
        Math.max(0, options.remainingMs) * REMOTE_PENALTY_RATIO,
      ),
    });
    return paths[index];
  }

  /**
   * Records the run time of a request.
   *
   * @param path Path that was chosen.
   * @param routeName Route of the request.
   * @param runMs Time at the upstream, in ms.
   */
  recordRun(path: UpstreamPath, routeName: string, runMs: number): void {
    let byRoute = this.#runMs.get(path);
    if (byRoute === undefined) {
      byRoute = new Map();
      this.#runMs.set(path, byRoute);
    }
    const mean = byRoute.get(routeName);
    if (mean === undefined) {
      byRoute.set(routeName, new MovingAverage(RUN_TIME_WEIGHT, runMs));
    } else {
      mean.add(runMs);
    }
  }

  #view(path: UpstreamPath, routeName: string): PathView {
    const { load, state, member } = path;
    return {
      isOwnDataCentre: member.dataCentre === this.#options.ownDataCentre,
      isCold: state?.isCold ?? false,
      limitCount: state?.limitCount ?? 0,
      openCount: load.estimatedCount,
      meanRunMs: load.meanRunMs,
      routeRunMs: this.#runMs.get(path)?.get(routeName)?.value ?? 0,
      failureRatio: load.failureRatio,
    };
  }
}
