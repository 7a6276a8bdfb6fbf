/** Bounded, stable set of members to which one daemon keeps links. */
import { hash32 } from "../../core/hash.ts";

/** Properties of a member on which the selection depends. */
export type LinkCandidate = {
  readonly name: string;
  readonly dataCentre: string;
  readonly pool: string;
  /** Whether the member has been unreachable for some seconds. */
  readonly isDown: boolean;
};

/** Options of {@link selectLinks}. */
export type SelectLinksOptions = {
  /** Name of the selecting daemon. */
  ownName: string;
  ownDataCentre: string;
};

/** Reachable members of a pool to which a daemon keeps links. */
export const POOL_LINKS_COUNT = 16;
/**
 * Links of a pool that go to the own data centre first. The others go to other
 * data centres, for requests that the own one has no room for.
 */
export const OWN_DATA_CENTRE_LINKS_COUNT = 12;

type RankedCandidate = { candidate: LinkCandidate; rank: number };

function groupByPool(
  members: Iterable<LinkCandidate>,
): Map<string, LinkCandidate[]> {
  const byPool = new Map<string, LinkCandidate[]>();
  for (const member of members) {
    const list = byPool.get(member.pool) ?? [];
    list.push(member);
    byPool.set(member.pool, list);
  }
  return byPool;
}

/**
 * Takes candidates in order until enough of them are reachable. Unreachable
 * ones are taken too, so that their links come back.
 */
function takeReachable(
  ranked: readonly RankedCandidate[],
  count: number,
): RankedCandidate[] {
  const taken: RankedCandidate[] = [];
  let reachableCount = 0;
  for (const entry of ranked) {
    if (reachableCount >= count) {
      break;
    }
    taken.push(entry);
    reachableCount += entry.candidate.isDown ? 0 : 1;
  }
  return taken;
}

function selectOfPool(
  members: readonly LinkCandidate[],
  { ownName, ownDataCentre }: SelectLinksOptions,
): string[] {
  if (members.length <= POOL_LINKS_COUNT) {
    return members.map(({ name }) => name);
  }
  const ranked = members
    .map((candidate) => ({
      candidate,
      rank: hash32(`${ownName} ${candidate.name}`),
    }))
    .sort((a, b) => b.rank - a.rank);
  const isOwn = ({ candidate }: RankedCandidate) =>
    candidate.dataCentre === ownDataCentre;
  const own = takeReachable(ranked.filter(isOwn), OWN_DATA_CENTRE_LINKS_COUNT);
  const ownReachableCount = own
    .filter(({ candidate }) => !candidate.isDown).length;
  const others = takeReachable(
    ranked.filter((entry) => !isOwn(entry)),
    POOL_LINKS_COUNT - ownReachableCount,
  );
  return [...own, ...others].map(({ candidate }) => candidate.name);
}

/**
 * Selects the members of each pool by rendezvous hashing of daemon and member,
 * those of the own data centre first. The links of a daemon are thus bounded by
 * the number of pools and not by the size of the fleet, each member is selected
 * by about as many daemons as the other members of its pool and data centre, and
 * a member that joins or leaves changes few selections. While selected members
 * are unreachable, further ones are selected in their place.
 *
 * @param members Known members without the selecting daemon.
 * @param options Name and data centre of the selecting daemon.
 * @returns Names of the selected members.
 *
 * @example
 * selectLinks(members, { ownName: "certify-7", ownDataCentre: "a" });
 */
export function selectLinks(
  members: Iterable<LinkCandidate>,
  options: SelectLinksOptions,
): Set<string> {
  const selected = new Set<string>();
  for (const poolMembers of groupByPool(members).values()) {
    for (const name of selectOfPool(poolMembers, options)) {
      selected.add(name);
    }
  }
  return selected;
}
