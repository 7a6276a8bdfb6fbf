/** Chooses the less loaded of two random upstreams. */
import type { RandomSource } from "../../core/random.ts";
import { EndpointRecord } from "./endpoint_record.ts";
import { PoolGate } from "../admission/pool_gate.ts";
import { effectiveRank } from "../admission/importance.ts";
import { rendezvousSubset } from "./rendezvous_subset.ts";
import type { Endpoint } from "./upstream_directory.ts";
import type {
  AttemptResult,
  PoolView,
  Selection,
  SelectionRequest,
  UpstreamSelector,
} from "./upstream_selector.ts";

type Candidate = {
  readonly endpoint: Endpoint;
  readonly record: EndpointRecord;
};

/** Candidates of a pool, computed again when its endpoints or rules change. */
type PoolState = {
  readonly endpoints: readonly Endpoint[];
  readonly rules: PoolView["rules"];
  readonly all: readonly Candidate[];
  readonly subset: readonly Candidate[];
};

/** Options of {@link TwoChoiceSelector}. */
export type TwoChoiceSelectorOptions = {
  /** Instance id of the calling daemon. */
  callerId: string;
  /** Data centre of the calling daemon. */
  dataCentre: string;
};

/**
 * Chooses within a stable subset of the pool: first among unsaturated upstreams
 * of the own data centre, then among those of the others, then among all.
 *
 * @example
 * const selector = new TwoChoiceSelector(random, {
 *   callerId: "logbook-1",
 *   dataCentre: "dakar-plateau",
 * });
 * selector.choose(pool, { rank: 5, excludedIds: [] }, nowMs);
 */
export class TwoChoiceSelector implements UpstreamSelector {
  readonly #random: RandomSource;
  readonly #options: TwoChoiceSelectorOptions;
  readonly #gate: PoolGate;
  readonly #pools = new Map<string, PoolState>();
  readonly #records = new Map<string, EndpointRecord>();
  readonly #poolOf = new Map<string, string>();

  /**
   * @param random Source of random numbers.
   * @param options Identity and data centre of the calling daemon.
   */
  constructor(random: RandomSource, options: TwoChoiceSelectorOptions) {
    this.#random = random;
    this.#options = options;
    this.#gate = new PoolGate(random);
  }

  /** @inheritdoc */
  choose(pool: PoolView, request: SelectionRequest, nowMs: number): Selection {
    const state = this.#poolState(pool);
    const usable = this.#usable(state, nowMs);
    const rank = effectiveRank(request.rank, request.depthCount ?? 1);
    const levels = usable.map(({ record }) => record.levelRank(nowMs));
    if (usable.length > 0 && this.#gate.refuses(rank, levels)) {
      return { kind: "refuse", error: "shed" };
    }
    const open = usable.filter(({ endpoint }) =>
      !request.excludedIds.includes(endpoint.instanceId)
    );
    const admitting = open.filter(({ record }) =>
      rank < record.levelRank(nowMs)
    );
    const candidates = this.#nearest(
      admitting.length > 0 ? admitting : open,
      { nowMs, coldStartMs: pool.rules.coldStartMs },
    );
    return this.#pick(candidates, {
      nowMs,
      coldStartMs: pool.rules.coldStartMs,
    });
  }

  /** @inheritdoc */
  started(instanceId: string, _nowMs: number): void {
    this.#records.get(instanceId)?.start();
  }

  /** @inheritdoc */
  finished(result: AttemptResult, nowMs: number): void {
    this.#records.get(result.instanceId)?.finish(result, {
      nowMs,
      isEjectionAllowed: this.#allowsEjection(result.instanceId, nowMs),
    });
  }

  /** Usable endpoints of the subset, or of the pool if the subset has none. */
  #usable(state: PoolState, nowMs: number): Candidate[] {
    const isUsable = ({ endpoint, record }: Candidate) =>
      endpoint.state !== "draining" && !record.isEjected(nowMs);
    const usable = state.subset.filter(isUsable);
    return usable.length > 0 ? usable : state.all.filter(isUsable);
  }

  #nearest(
    open: Candidate[],
    at: { nowMs: number; coldStartMs: number },
  ): Candidate[] {
    const free = open.filter(({ record }) =>
      record.loadRatio(at.nowMs, at.coldStartMs) < 1
    );
    const near = free.filter(({ endpoint }) =>
      endpoint.dataCentre === this.#options.dataCentre
    );
    if (near.length > 0) {
      return near;
    }
    return free.length > 0 ? free : open;
  }

  #pick(
    candidates: readonly Candidate[],
    at: { nowMs: number; coldStartMs: number },
  ): Selection {
    const first = this.#randomOf(candidates);
    const second = this.#randomOf(
      candidates.filter((candidate) => candidate !== first),
    );
    if (first === undefined) {
      return { kind: "refuse", error: "no_upstream" };
    }
    const secondIsBetter = second !== undefined &&
      second.record.score(at.nowMs, at.coldStartMs) <
        first.record.score(at.nowMs, at.coldStartMs);
    const { endpoint } = secondIsBetter ? second : first;
    return { kind: "chosen", endpoint };
  }

  #randomOf(candidates: readonly Candidate[]): Candidate | undefined {
    return candidates.length === 0
      ? undefined
      : candidates[this.#random.nextInt(candidates.length)];
  }

  #allowsEjection(instanceId: string, nowMs: number): boolean {
    const state = this.#pools.get(this.#poolOf.get(instanceId) ?? "");
    if (state === undefined) {
      return false;
    }
    const ejected = state.all.filter(({ record }) => record.isEjected(nowMs));
    const ejectedMaxCount = Math.floor(
      state.all.length * state.rules.ejectionMaxRatio,
    );
    return ejected.length < ejectedMaxCount;
  }

  #poolState(pool: PoolView): PoolState {
    const known = this.#pools.get(pool.name);
    if (known?.endpoints === pool.endpoints && known.rules === pool.rules) {
      return known;
    }
    this.#removeAbsent(known, pool.endpoints);
    const all = pool.endpoints.map((endpoint) => this.#candidate(endpoint));
    const chosen = new Set(rendezvousSubset(pool.endpoints, {
      callerId: this.#options.callerId,
      rules: pool.rules,
    }));
    const state = {
      endpoints: pool.endpoints,
      rules: pool.rules,
      all,
      subset: all.filter(({ endpoint }) => chosen.has(endpoint)),
    };
    this.#pools.set(pool.name, state);
    return state;
  }

  #candidate(endpoint: Endpoint): Candidate {
    const known = this.#records.get(endpoint.instanceId);
    if (known?.incarnationEpochMs === endpoint.incarnationEpochMs) {
      return { endpoint, record: known };
    }
    const record = new EndpointRecord(endpoint);
    this.#records.set(endpoint.instanceId, record);
    this.#poolOf.set(endpoint.instanceId, endpoint.pool);
    return { endpoint, record };
  }

  #removeAbsent(
    known: PoolState | undefined,
    endpoints: readonly Endpoint[],
  ): void {
    const present = new Set(endpoints.map(({ instanceId }) => instanceId));
    for (const { endpoint } of known?.all ?? []) {
      if (!present.has(endpoint.instanceId)) {
        this.#records.delete(endpoint.instanceId);
        this.#poolOf.delete(endpoint.instanceId);
      }
    }
  }
}
