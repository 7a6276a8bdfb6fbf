/** Baseline selection: a random endpoint. */
import type { RandomSource } from "../../core/random.ts";
import type {
  AttemptResult,
  PoolView,
  Selection,
  SelectionRequest,
  UpstreamSelector,
} from "./upstream_selector.ts";

/** Chooses uniformly among endpoints that are not draining or excluded. */
export class RandomSelector implements UpstreamSelector {
  readonly #random: RandomSource;

  /**
   * @param random Source of random numbers.
   */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** @inheritdoc */
  choose(
    pool: PoolView,
    request: SelectionRequest,
    _nowMs: number,
  ): Selection {
    const candidates = pool.endpoints.filter((endpoint) =>
      endpoint.state !== "draining" &&
      !request.excludedIds.includes(endpoint.instanceId)
    );
    if (candidates.length === 0) {
      return { kind: "refuse", error: "no_upstream" };
    }
    const endpoint = candidates[this.#random.nextInt(candidates.length)];
    return endpoint === undefined
      ? { kind: "refuse", error: "no_upstream" }
      : { kind: "chosen", endpoint };
  }

  /** @inheritdoc */
  started(_instanceId: string, _nowMs: number): void {
    // The baseline keeps no counts.
  }

  /** @inheritdoc */
  finished(_result: AttemptResult, _nowMs: number): void {
    // The baseline keeps no counts.
  }
}
