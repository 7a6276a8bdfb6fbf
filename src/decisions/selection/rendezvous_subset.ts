/** Stable subset of a pool's endpoints per calling daemon. */
import { hash32 } from "../../core/hash.ts";
import type { Pool } from "../../schemas/tables_schema.ts";
import type { Endpoint } from "./upstream_directory.ts";

/** Connections that one calling daemon keeps open to one endpoint. */
export const CONNECTIONS_PER_CALLER_COUNT = 4;
/**
 * Share of the connection limit that is planned for the average endpoint.
 * Rendezvous hashing is uneven, so some endpoints get more connections.
 */
const CONNECTIONS_SHARE = 0.8;

/** Options of {@link rendezvousSubset}. */
export type SubsetOptions = {
  /** Instance id of the calling daemon. */
  callerId: string;
  /** Rules of the pool. */
  rules: Pick<Pool, "connectionsMaxCount" | "callersMaxCount">;
};

/**
 * Computes how many endpoints one calling daemon uses, so that all calling
 * daemons together stay under the connection limit of an endpoint.
 *
 * @param endpointsCount Endpoints of the pool.
 * @param rules Connection limit and number of calling daemons.
 * @returns Size of the subset, from 1 to the size of the pool.
 *
 * @example
 * subsetSize(5, { connectionsMaxCount: 700, callersMaxCount: 100 }); // 5
 */
export function subsetSize(
  endpointsCount: number,
  rules: SubsetOptions["rules"],
): number {
  const connections = rules.connectionsMaxCount * CONNECTIONS_SHARE;
  const perEndpoint = rules.callersMaxCount * CONNECTIONS_PER_CALLER_COUNT;
  const size = Math.floor(endpointsCount * connections / perEndpoint);
  return Math.min(endpointsCount, Math.max(1, size));
}

type OrderedEndpoint = { endpoint: Endpoint; hash: number; position: number };

/** Orders the endpoints of a data centre by the hash of caller and endpoint. */
function orderDataCentre(
  endpoints: readonly Endpoint[],
  callerId: string,
): OrderedEndpoint[] {
  return endpoints
    .map((endpoint) => ({
      endpoint,
      hash: hash32(`${callerId} ${endpoint.instanceId}`),
      position: 0,
    }))
    .sort((a, b) => b.hash - a.hash)
    .map((ranked, index) => ({
      ...ranked,
      position: (index + 0.5) / endpoints.length,
    }));
}

/**
 * Chooses the endpoints with the highest hash of caller and endpoint, from each
 * data centre in proportion to its endpoints. When an endpoint joins or leaves,
 * the order of the others within a data centre does not change.
 *
 * @param endpoints Endpoints of the pool.
 * @param options Calling daemon and rules.
 * @returns Subset of the endpoints, most preferred first.
 */
export function rendezvousSubset(
  endpoints: readonly Endpoint[],
  options: SubsetOptions,
): Endpoint[] {
  const byDataCentre = new Map<string, Endpoint[]>();
  for (const endpoint of endpoints) {
    const list = byDataCentre.get(endpoint.dataCentre) ?? [];
    list.push(endpoint);
    byDataCentre.set(endpoint.dataCentre, list);
  }
  return [...byDataCentre.values()]
    .flatMap((list) => orderDataCentre(list, options.callerId))
    .sort((a, b) => a.position - b.position || b.hash - a.hash)
    .slice(0, subsetSize(endpoints.length, options.rules))
    .map(({ endpoint }) => endpoint);
}
