/**
 * Call graph of the routes, observed from traffic. A run is one execution of a
 * request by an upstream.
 */

/** Calling route, called route, calls per run. */
export type CallEdge = [string, string, number];

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
/** Upper bound of the runs of one edge, which keeps their sums finite. */
const EDGE_RUNS_MAX_COUNT = 1_000_000;

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

/** Calls per run, by calling and called route. */
type CallsByRoute = Map<string, Map<string, number>>;

/**
 * Orders a route and those that it calls, directly or not, such that each stands
 * before those that it calls, unless a call leads back to a route of its chain.
 */
function orderCallers(edges: CallsByRoute, routeName: string): string[] {
  const visited = new Set<string>();
  const order: string[] = [];
  const visit = (name: string) => {
    if (visited.has(name)) {
      return;
    }
    visited.add(name);
    for (const called of edges.get(name)?.keys() ?? []) {
      visit(called);
    }
    order.push(name);
  };
  visit(routeName);
  return order.reverse();
}

/** Counts the runs of {@link CallGraph.runsByRoute}, each edge once. */
function countRuns(
  edges: CallsByRoute,
  routeName: string,
): Map<string, number> {
  const order = orderCallers(edges, routeName);
  const positions = new Map(order.map((name, index) => [name, index]));
  const runs = new Map(order.map((name) => [name, 0]));
  runs.set(routeName, 1);
  // Runs whose calls count, too.
  const callingRuns = new Map(runs);
  for (const [position, name] of order.entries()) {
    for (const [called, perRun] of edges.get(name) ?? []) {
      const count = Math.min(
        EDGE_RUNS_MAX_COUNT,
        (callingRuns.get(name) as number) * perRun,
      );
      runs.set(called, (runs.get(called) as number) + count);
      if ((positions.get(called) as number) > position) {
        callingRuns.set(called, (callingRuns.get(called) as number) + count);
      }
    }
  }
  return runs;
}

/** Merged edges of all daemons. */
export class CallGraph {
  readonly #byMember = new Map<string, readonly CallEdge[]>();
  #merged: CallsByRoute | undefined;
  readonly #runsByRoute = new Map<string, ReadonlyMap<string, number>>();

  /**
   * Replaces the edges of one daemon.
   *
   * @param memberName Daemon that observed the calls.
   * @param edges Its edges.
   */
  update(memberName: string, edges: readonly CallEdge[]): void {
    this.#byMember.set(memberName, edges);
    this.#merged = undefined;
  }

  /** Number of pairs of a calling and a called route. */
  get edgesCount(): number {
    let count = 0;
    for (const calls of this.#edges().values()) {
      count += calls.size;
    }
    return count;
  }

  /**
   * Computes the runs that one request of a route causes at each route. A call
   * that leads back to a route of its chain counts, but its own calls do not: the
   * mean calls per run of such a route do not tell how often the chain is closed.
   *
   * @param routeName Route of the request.
   * @returns Runs by route, including the run of the route itself.
   */
  runsByRoute(routeName: string): ReadonlyMap<string, number> {
    // Also clears the known runs if the edges have changed.
    const edges = this.#edges();
    let runs = this.#runsByRoute.get(routeName);
    if (runs === undefined) {
      runs = countRuns(edges, routeName);
      this.#runsByRoute.set(routeName, runs);
    }
    return runs;
  }

  /**
   * Sums the runs that one request of a route causes at all routes.
   *
   * @param routeName Route of the request.
   * @returns Runs at all routes, at least 1.
   */
  totalRunsOf(routeName: string): number {
    let sum = 0;
    for (const runs of this.runsByRoute(routeName).values()) {
      sum += runs;
    }
    return sum;
  }

  /**
   * Returns whether requests of a route call another route.
   *
   * @param routeName Route that may call.
   * @param called Route that may be called.
   * @returns True when some daemon has observed such calls.
   */
  calls(routeName: string, called: string): boolean {
    return this.#edges().get(routeName)?.has(called) ?? false;
  }

  /**
   * Returns whether a route is called by another one.
   *
   * @param routeName Route that may be called.
   * @returns True when some daemon has observed such calls.
   */
  isCalled(routeName: string): boolean {
    for (const calls of this.#edges().values()) {
      if (calls.has(routeName)) {
        return true;
      }
    }
    return false;
  }

  #edges(): CallsByRoute {
    if (this.#merged !== undefined) {
      return this.#merged;
    }
    this.#runsByRoute.clear();
    const merged: CallsByRoute = new Map();
    for (const edges of this.#byMember.values()) {
      for (const [routeName, called, perRun] of edges) {
        const calls = merged.get(routeName) ?? new Map<string, number>();
        calls.set(called, Math.max(calls.get(called) ?? 0, perRun));
        merged.set(routeName, calls);
      }
    }
    this.#merged = merged;
    return merged;
  }
}
