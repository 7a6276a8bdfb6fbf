/** Choice of the daemon that holds the token bucket of a tenant. */
import { hash32 } from "../../core/hash.ts";
import { rankCandidates } from "../watcher_election.ts";

/** Candidates of each data centre. */
const CANDIDATES_PER_DATA_CENTRE = 2;

/** Properties of a member on which the choice depends. */
export type CapMember = { readonly name: string; readonly dataCentre: string };

/**
 * Lists the members that may own buckets: the first two of each data centre.
 *
 * @param members All known members, including the choosing one.
 * @returns Names of the candidates, in no particular order.
 */
export function listCapCandidates(members: Iterable<CapMember>): string[] {
  const byDataCentre = new Map<string, string[]>();
  for (const { name, dataCentre } of members) {
    const names = byDataCentre.get(dataCentre) ?? [];
    names.push(name);
    byDataCentre.set(dataCentre, names);
  }
  return [...byDataCentre.values()].flatMap((names) =>
    rankCandidates(names).slice(0, CANDIDATES_PER_DATA_CENTRE)
  );
}

/**
 * Ranks candidates for a tenant by rendezvous hashing, so that a candidate that
 * joins or leaves moves only the tenants that it owns.
 *
 * @param tenantName Name of the tenant.
 * @param candidates Names of the candidates.
 * @returns The candidates, most preferred first.
 */
export function rankCapOwners(
  tenantName: string,
  candidates: readonly string[],
): string[] {
  return candidates
    .map((name) => ({ name, rank: hash32(`${tenantName} ${name}`) }))
    .sort((a, b) => b.rank - a.rank || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}
