/** Weighted shares of tenants under overload. */
import { ADMISSION_KEYS_COUNT, CLASSES_COUNT } from "./importance.ts";

/** Decay of the offered counts per control interval, over about 1 s. */
const DECAY_RATIO = 0.9;
const OFFERED_MIN_COUNT = 0.05;
/** Lower bound of the fair share, relative to the mean share per weight. */
const FAIR_MIN_RATIO = 0.25;
/** First key of the last quarter, to which requests over the share move. */
const EXCESS_START_KEY = ADMISSION_KEYS_COUNT * 3 / 4;

type TenantDemand = {
  weight: number;
  offeredCount: number;
  demandRatio: number;
};

/** Properties of a request on which its share depends. */
export type TenantRequest = {
  readonly rank: number;
  readonly tenant: string;
  readonly tenantWeight: number;
};

function meanPerWeight(demands: readonly TenantDemand[]): number {
  let offered = 0;
  let weight = 0;
  for (const demand of demands) {
    offered += demand.offeredCount;
    weight += demand.weight;
  }
  return weight === 0 ? 0 : offered / weight;
}

/**
 * Gives the requests of a tenant beyond its weighted share the last ranks of
 * their class. No request becomes more important, so that a level that is
 * applied in the calling daemon refuses only requests that would be refused here
 * as well.
 */
export class TenantShares {
  readonly #byClass = Array.from(
    { length: CLASSES_COUNT },
    () => new Map<string, TenantDemand>(),
  );

  /**
   * Counts an offered request and computes its rank by the share of its tenant.
   *
   * @param request Request with its own rank.
   * @returns Rank of the same class, at least the rank of the request.
   */
  rank(request: TenantRequest): number {
    const classIndex = Math.floor(request.rank / ADMISSION_KEYS_COUNT);
    const demand = this.#demandOf(request, classIndex);
    demand.offeredCount++;
    const key = request.rank % ADMISSION_KEYS_COUNT;
    const withinShare = key * demand.demandRatio < ADMISSION_KEYS_COUNT;
    const rankedKey = withinShare
      ? Math.floor(key * demand.demandRatio)
      : EXCESS_START_KEY + Math.floor(key / 4);
    return classIndex * ADMISSION_KEYS_COUNT + rankedKey;
  }

  /** Ends a control interval: computes which tenants are over their share. */
  endInterval(): void {
    for (const demands of this.#byClass) {
      this.#updateClass(demands);
    }
  }

  #demandOf(request: TenantRequest, classIndex: number): TenantDemand {
    const demands = this.#byClass[classIndex] as Map<string, TenantDemand>;
    let demand = demands.get(request.tenant);
    if (demand === undefined) {
      demand = {
        weight: request.tenantWeight,
        offeredCount: 0,
        demandRatio: 1,
      };
      demands.set(request.tenant, demand);
    }
    demand.weight = request.tenantWeight;
    return demand;
  }

  #updateClass(demands: Map<string, TenantDemand>): void {
    const all = [...demands.values()];
    const meanShare = meanPerWeight(all);
    const within = all.filter((d) => d.offeredCount <= meanShare * d.weight);
    const fairShare = Math.max(
      meanPerWeight(within),
      meanShare * FAIR_MIN_RATIO,
    );
    for (const [tenant, demand] of demands) {
      const fairCount = fairShare * demand.weight;
      const over = demand.offeredCount > meanShare * demand.weight;
      demand.demandRatio = over && fairCount > 0
        ? demand.offeredCount / fairCount
        : 1;
      demand.offeredCount *= DECAY_RATIO;
      if (demand.offeredCount < OFFERED_MIN_COUNT) {
        demands.delete(tenant);
      }
    }
  }
}
