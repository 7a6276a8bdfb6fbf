/**
 * Counts the downstream calls of the runs at one upstream. A run is one execution
 * of a request by an upstream.
 */
import type { CallEdge } from "./call_graph.ts";

/** Runs after which the observed ratio is published to other daemons. */
const RUNS_MIN_COUNT = 4;
/** Run count at which all counts are halved, so that recent runs weigh more. */
const RUNS_HALVING_COUNT = 1_000;
/** Lower ratios are taken for calls attributed to the wrong request. */
const CALLS_PER_RUN_MIN = 0.4;
/**
 * Ratio below which a published edge is withdrawn. A daemon that is short of
 * processor time attributes only a part of the calls.
 */
const CALLS_PER_RUN_KEPT_MIN = 0.1;
/**
 * Matches with running requests per match by chance, above which the requests of
 * a route are taken for downstream calls.
 */
const CHANCE_FACTOR = 1.5;
/** Requests of a route after which it may be classified as called. */
const RECEIVED_MIN_COUNT = 4;
/** Requests of a route after which its counts are halved. */
const RECEIVED_HALVING_COUNT = 64;
/**
 * Share of a route's requests with a parent from which the route is classified
 * as called. Requests of callers have one by chance.
 */
const CALLED_MIN_RATIO = 0.5;
/** Share below which that classification is withdrawn. */
const CALLED_KEPT_MIN_RATIO = 0.1;

/** Counted runs of one route and the calls that they made. */
type RunCounts = {
  runsCount: number;
  readonly calls: Map<string, number>;
  /** Requests by route that match runs by chance. */
  readonly chanceMatches: Map<string, number>;
};

type RouteRuns = {
  readonly successful: RunCounts;
  /** Successful runs and those that ended early. */
  readonly all: RunCounts;
  /** Called routes of the published edges. */
  published: Set<string>;
};

type RouteRequests = {
  receivedCount: number;
  withParentCount: number;
  withChanceParentCount: number;
  isCalled: boolean;
};

/** A run that has ended at the local upstream. */
export type ObservedRun = {
  /** Route of each downstream call that the run has made. */
  readonly calledRouteNames: readonly string[];
  /** Route of each request that matches the run by chance; none by default. */
  readonly chanceRouteNames?: readonly string[];
  readonly isSuccessful: boolean;
};

/** Running requests that a received request may be a downstream call of. */
export type ParentMatch = {
  /** Whether a running request makes it, by its id or its deadline. */
  readonly hasParent: boolean;
  /** Whether a running request has a deadline nearby by chance. */
  readonly hasChanceParent: boolean;
};

function createRunCounts(): RunCounts {
  return { runsCount: 0, calls: new Map(), chanceMatches: new Map() };
}

function increment(
  counts: Map<string, number>,
  routeNames: readonly string[],
): void {
  for (const name of routeNames) {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
}

function halve(counts: Map<string, number>): void {
  for (const [name, count] of counts) {
    counts.set(name, count / 2);
  }
}

function addRun(
  counts: RunCounts,
  { calledRouteNames, chanceRouteNames = [] }: ObservedRun,
): void {
  counts.runsCount++;
  increment(counts.calls, calledRouteNames);
  increment(counts.chanceMatches, chanceRouteNames);
  if (counts.runsCount < RUNS_HALVING_COUNT) {
    return;
  }
  counts.runsCount /= 2;
  halve(counts.calls);
  halve(counts.chanceMatches);
}

/**
 * Calls per run; 0 while too few runs were observed, and for requests that match
 * the runs about as often by chance.
 */
function callsPerRun(
  { runsCount, calls, chanceMatches }: RunCounts,
  called: string,
): number {
  const callsCount = calls.get(called) ?? 0;
  const chanceCount = chanceMatches.get(called) ?? 0;
  return runsCount < RUNS_MIN_COUNT || callsCount < CHANCE_FACTOR * chanceCount
    ? 0
    : callsCount / runsCount;
}

/** Counts the runs at one upstream and the calls that they make. */
export class CallObserver {
  readonly #byRoute = new Map<string, RouteRuns>();
  readonly #received = new Map<string, RouteRequests>();

  /**
   * Counts a request that callers or the local upstream have sent here.
   *
   * @param routeName Route of the request.
   * @param match Whether it matches running requests.
   */
  recordReceived(
    routeName: string,
    { hasParent, hasChanceParent }: ParentMatch,
  ): void {
    const requests = this.#receivedOf(routeName);
    requests.receivedCount++;
    requests.withParentCount += hasParent ? 1 : 0;
    requests.withChanceParentCount += hasChanceParent ? 1 : 0;
    if (requests.receivedCount < RECEIVED_MIN_COUNT) {
      return;
    }
    const ratio = requests.withParentCount / requests.receivedCount;
    requests.isCalled = requests.withParentCount >=
        CHANCE_FACTOR * requests.withChanceParentCount &&
      ratio >= (requests.isCalled ? CALLED_KEPT_MIN_RATIO : CALLED_MIN_RATIO);
    if (requests.receivedCount >= RECEIVED_HALVING_COUNT) {
      requests.receivedCount /= 2;
      requests.withParentCount /= 2;
      requests.withChanceParentCount /= 2;
    }
  }

  /**
   * Returns whether the requests of a route are downstream calls of the local
   * upstream, by the share of them that running requests make.
   *
   * @param routeName Route of the requests.
   * @returns True for a called route; false while too few were received.
   */
  isCalled(routeName: string): boolean {
    return this.#received.get(routeName)?.isCalled ?? false;
  }

  /**
   * Counts a run together with its calls, so that the ratio is correct from the
   * first run on. A run that has failed may have ended before its last call, so
   * its calls are a lower bound. They are counted because no run succeeds while
   * the called pools are overloaded, and the calls must be known to end that.
   *
   * @param routeName Route of the request.
   * @param run Route of each call that it made, and whether it succeeded.
   */
  recordRun(routeName: string, run: ObservedRun): void {
    const { successful, all } = this.#runsOf(routeName);
    addRun(all, run);
    if (run.isSuccessful) {
      addRun(successful, run);
    }
  }

  /** Discards all counts. */
  clear(): void {
    this.#byRoute.clear();
    this.#received.clear();
  }

  /**
   * Returns whether enough runs have succeeded to know all calls of a route.
   *
   * @param routeName Route of the request that makes calls.
   * @returns True when a route without an edge is not called by it.
   */
  hasEnoughRuns(routeName: string): boolean {
    const runs = this.#byRoute.get(routeName);
    return runs !== undefined && runs.successful.runsCount >= RUNS_MIN_COUNT;
  }

  /**
   * Lists the observed edges, rounded so that they rarely change.
   *
   * @returns Edges in a stable order.
   */
  edges(): CallEdge[] {
    const edges: CallEdge[] = [];
    for (const [routeName, runs] of this.#byRoute) {
      for (const called of runs.all.calls.keys()) {
        const perRun = Math.max(
          callsPerRun(runs.successful, called),
          callsPerRun(runs.all, called),
        );
        const isKept = runs.published.has(called);
        if (perRun >= (isKept ? CALLS_PER_RUN_KEPT_MIN : CALLS_PER_RUN_MIN)) {
          runs.published.add(called);
          edges.push([routeName, called, Math.max(1, Math.round(perRun))]);
        } else {
          runs.published.delete(called);
        }
      }
    }
    return edges.sort((a, b) =>
      a[0].localeCompare(b[0]) || a[1].localeCompare(b[1])
    );
  }

  #receivedOf(routeName: string): RouteRequests {
    let requests = this.#received.get(routeName);
    if (requests === undefined) {
      requests = {
        receivedCount: 0,
        withParentCount: 0,
        withChanceParentCount: 0,
        isCalled: false,
      };
      this.#received.set(routeName, requests);
    }
    return requests;
  }

  #runsOf(routeName: string): RouteRuns {
    let runs = this.#byRoute.get(routeName);
    if (runs === undefined) {
      runs = {
        successful: createRunCounts(),
        all: createRunCounts(),
        published: new Set(),
      };
      this.#byRoute.set(routeName, runs);
    }
    return runs;
  }
}
