/** Assigns downstream calls to the running requests that make them. */
import type { CallGraph } from "../decisions/routing/call_graph.ts";
import type { CallObserver } from "../decisions/routing/call_observer.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { ServedRequest } from "./served_request.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/**
 * Distance from the deadline of a request at which another running request has
 * its deadline as often by chance, in ms. It is beyond the delays at which the
 * deadline of a call still matches that of its parent.
 */
const CHANCE_OFFSET_MS = 14;

/**
 * What shows that a request is a downstream call:
 *
 * - `id`: its id contains that of the running request. Besides the daemons, only
 *   the caller and the upstream of that request know the id, so this proves that
 *   the call is made for it.
 * - `deadline`: it has the deadline of the running request. Any request may have
 *   it by chance, so this may decide how a request is queued, but not who its
 *   caller is.
 */
export type CallEvidence = "id" | "deadline";

/** Running request that makes a downstream call. */
export type CallParent = {
  readonly served: ServedRequest;
  readonly evidence: CallEvidence;
};

/** Running requests that a received request may be a call of. */
export type CallMatch = {
  /** Request that its id names, or else one that has its deadline. */
  readonly parent?: CallParent | undefined;
  /** Request that has a deadline nearby, which is not that of a call. */
  readonly chance?: ServedRequest | undefined;
};

/** Properties of a received request that refer to its parent. */
export type CallReference = {
  readonly requestId: string;
  /** Deadline, as a monotonic time in ms. */
  readonly expiresAtMs: number;
};

/** Parts of the daemon that {@link CallParents} uses. */
export type CallParentsParts = {
  /** Id of the request that makes a downstream call, if the id tells it. */
  decodeParentId: (requestId: string) => string | undefined;
  gate: Pick<UpstreamGate, "findRunning" | "findByExpiry" | "upstreamId">;
  graph: Pick<CallGraph, "calls">;
  observer: CallObserver;
};

/**
 * Finds the parents of downstream calls. Once an upstream has named the parent of
 * a call in its id, requests without such an id are not calls of this upstream,
 * and what was learned from their deadlines is discarded.
 */
export class CallParents {
  readonly #parts: CallParentsParts;
  /** Upstream whose calls name their parents. */
  #namingUpstreamId: string | undefined;
  #hasDeadlineMatches = false;

  /**
   * @param parts Decoder of ids, running requests and call graph.
   */
  constructor(parts: CallParentsParts) {
    this.#parts = parts;
  }

  /**
   * Finds the running requests that a request without a key may be a call of.
   *
   * @param reference Id and deadline of the request.
   * @returns Matching requests; empty for a request that no running one makes.
   */
  match({ requestId, expiresAtMs }: CallReference): CallMatch {
    const { gate, decodeParentId } = this.#parts;
    const named = gate.findRunning(decodeParentId(requestId));
    if (named !== undefined) {
      this.#recordNaming();
      return { parent: { served: named, evidence: "id" } };
    }
    const served = this.#findByDeadline(expiresAtMs);
    return {
      parent: served && { served, evidence: "deadline" },
      chance: this.#findByDeadline(expiresAtMs - CHANCE_OFFSET_MS),
    };
  }

  /**
   * Returns the running request that a request is treated as a call of. A
   * matching deadline is sufficient only if the parent's route calls that of the
   * request, or may call it. That other upstreams call the route is not
   * sufficient, because callers send requests of called routes, too.
   *
   * @param match Result of {@link match}.
   * @param route Route of the request.
   * @returns Running request and evidence; undefined for a request of a caller.
   */
  parentOf({ parent }: CallMatch, route: FleetRoute): CallParent | undefined {
    if (parent === undefined || parent.evidence === "id") {
      return parent;
    }
    const { graph, observer } = this.#parts;
    const { routeName } = parent.served.request;
    const mayCall = graph.calls(routeName, route.name) ||
      !observer.hasEnoughRuns(routeName);
    return mayCall ? parent : undefined;
  }

  /**
   * Returns whether a request without a key may be a call that does not name its
   * parent: one with its deadline, or one of a route that the upstream calls so.
   *
   * @param match Result of {@link match}.
   * @param route Route of the request.
   * @returns False for a call that is proven, and for a request of a caller.
   */
  mayBeUnnamedCall(match: CallMatch, route: FleetRoute): boolean {
    if (this.#namesCalls) {
      return false;
    }
    return this.parentOf(match, route)?.evidence === "deadline" ||
      this.#parts.observer.isCalled(route.name);
  }

  /**
   * Counts a request that was received.
   *
   * @param routeName Route of the request.
   * @param match Result of {@link match}.
   */
  record(routeName: string, { parent, chance }: CallMatch): void {
    parent?.served.calledRouteNames.push(routeName);
    chance?.chanceRouteNames.push(routeName);
    this.#hasDeadlineMatches ||= parent?.evidence === "deadline";
    this.#parts.observer.recordReceived(routeName, {
      hasParent: parent !== undefined,
      hasChanceParent: chance !== undefined,
    });
  }

  /** Whether the upstream has named the parent of a call. */
  get #namesCalls(): boolean {
    return this.#parts.gate.upstreamId === this.#namingUpstreamId;
  }

  #findByDeadline(expiresAtMs: number): ServedRequest | undefined {
    return this.#namesCalls
      ? undefined
      : this.#parts.gate.findByExpiry(expiresAtMs);
  }

  #recordNaming(): void {
    this.#namingUpstreamId = this.#parts.gate.upstreamId;
    if (this.#hasDeadlineMatches) {
      this.#hasDeadlineMatches = false;
      this.#parts.observer.clear();
    }
  }
}
