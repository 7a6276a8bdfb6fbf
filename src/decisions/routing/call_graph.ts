/** Call graph of the routes, merged from what all daemons observe. */

/** Calling route, called route, calls per run. */
export type CallEdge = [string, string, number];

/** Upper bound of the runs of one edge, which keeps their sums finite. */
const EDGE_RUNS_MAX_COUNT = 1_000_000;

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
