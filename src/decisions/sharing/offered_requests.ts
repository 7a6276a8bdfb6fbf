/** Recently offered requests by flow: one route, tenant and priority. */

/** Factor by which the counts decay per control interval of 100 ms. */
const OFFERED_DECAY = 0.95;
/** Count below which a flow is forgotten, half a minute after its last request. */
const FORGOTTEN_MAX_COUNT = 1e-6;

/** Flow of requests that share room. */
export type OfferedFlow = {
  /** Unique among all flows. */
  readonly name: string;
  readonly routeName: string;
  /** Priority of the requests; undefined for that of their route. */
  readonly ownPriority: number | undefined;
  /** Offered requests, with decay. */
  count: number;
};

/** Request that is counted. */
export type OfferedRequest = {
  readonly routeName: string;
  /** Priority in place of the route's; undefined without one. */
  readonly ownPriority?: number | undefined;
  readonly tenantName?: string | undefined;
};

/**
 * Builds the name of a request's flow.
 *
 * @param request Route, tenant and priority of the request.
 * @returns Name that requests with the same three share.
 */
export function flowNameOf(
  { routeName, ownPriority, tenantName }: OfferedRequest,
): string {
  return tenantName === undefined && ownPriority === undefined
    ? routeName
    : JSON.stringify([routeName, tenantName, ownPriority]);
}

/** Counts offered requests by flow; older ones count less. */
export class OfferedRequests {
  readonly #flows = new Map<string, OfferedFlow>();

  /** Flows with recent requests. */
  get flows(): Iterable<OfferedFlow> {
    return this.#flows.values();
  }

  /**
   * Counts a request.
   *
   * @param request Route, tenant and priority of the request.
   * @returns Name of its flow.
   */
  add(request: OfferedRequest): string {
    const name = flowNameOf(request);
    const flow = this.#flows.get(name);
    if (flow !== undefined) {
      flow.count++;
      return name;
    }
    const { routeName, ownPriority } = request;
    this.#flows.set(name, { name, routeName, ownPriority, count: 1 });
    return name;
  }

  /** Reduces all counts. Called once per control interval. */
  decay(): void {
    for (const flow of this.#flows.values()) {
      flow.count *= OFFERED_DECAY;
      if (flow.count < FORGOTTEN_MAX_COUNT) {
        this.#flows.delete(flow.name);
      }
    }
  }

  /**
   * Forgets a flow whose route does not exist any more.
   *
   * @param name Name of the flow.
   */
  delete(name: string): void {
    this.#flows.delete(name);
  }
}
