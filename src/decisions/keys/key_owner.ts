/** Home data centre and owner instance of an idempotency key. */
import { hash32 } from "../../core/hash.ts";
import type { IdempotencyKey } from "./idempotency_key.ts";
import type { Endpoint } from "../selection/upstream_directory.ts";
import type { Selection } from "../selection/upstream_selector.ts";

/** Data centres and owners of a pool over one period. */
export type OwnerList = {
  /** Start of the period by the daemon's `KeyClock`, in ms since the epoch. */
  readonly sinceEpochMs: number;
  /** Data centres that the pool listed. */
  readonly dataCentres: readonly string[];
  /** Instances of the data centre that were eligible as owners. */
  readonly instanceIds: readonly string[];
};

/** History of the members of a pool that were eligible as owners. */
export interface OwnerHistory {
  /**
   * Lists the periods that end after a time, oldest first; the last one is in
   * force now. Empty when the history does not reach back to that time.
   */
  lists(
    pool: string,
    dataCentre: string,
    fromEpochMs: number,
  ): readonly OwnerList[];
}

/**
 * Chooses one of several names by rendezvous hashing, so that a change of the
 * list moves only the keys of added or removed names.
 *
 * @param key Key to place.
 * @param names Candidates, in any order.
 * @returns The name with the highest hash; undefined for an empty list.
 *
 * @example
 * chooseByRendezvous("k", ["a", "b"]) === chooseByRendezvous("k", ["b", "a"]); // true
 */
export function chooseByRendezvous(
  key: string,
  names: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestHash = -1;
  for (const name of names) {
    const hash = hash32(`${name} ${key}`);
    if (hash > bestHash || (hash === bestHash && name < (best ?? ""))) {
      best = name;
      bestHash = hash;
    }
  }
  return best;
}

/**
 * Finds the home data centre of a key.
 *
 * @param key Parsed key.
 * @param dataCentres Data centres that the pool lists.
 * @returns Data centre; undefined when the prefix names none of `dataCentres`.
 */
export function homeDataCentre(
  key: IdempotencyKey,
  dataCentres: readonly string[],
): string | undefined {
  if (key.homeDataCentre === undefined) {
    return chooseByRendezvous(key.text, dataCentres);
  }
  return dataCentres.includes(key.homeDataCentre)
    ? key.homeDataCentre
    : undefined;
}

/** Pool in which to find the owner of a key. */
export type OwnerQuery = {
  readonly pool: string;
  readonly dataCentres: readonly string[];
  readonly endpoints: readonly Endpoint[];
};

const UNREACHABLE: Selection = {
  kind: "refuse",
  error: "key_home_unreachable",
};

/**
 * Chooses the endpoint of the current owner of a key.
 *
 * @param key Parsed key.
 * @param query Pool, its data centres and its endpoints.
 * @param options History of owners and the current time of the `KeyClock`.
 * @returns The owner's endpoint; a refusal when it cannot be reached.
 */
export function chooseOwner(
  key: IdempotencyKey,
  query: OwnerQuery,
  { history, nowEpochMs }: { history: OwnerHistory; nowEpochMs: number },
): Selection {
  const home = homeDataCentre(key, query.dataCentres);
  if (home === undefined) {
    return UNREACHABLE;
  }
  const list = history.lists(query.pool, home, nowEpochMs).at(-1);
  const owner = chooseByRendezvous(key.text, list?.instanceIds ?? []);
  const endpoint = query.endpoints.find(({ instanceId }) =>
    instanceId === owner
  );
  return endpoint === undefined ? UNREACHABLE : { kind: "chosen", endpoint };
}
