/** Decides which daemons compete for leases. */

/** What a daemon knows when it decides whether to compete for a reader's lease. */
export type ReaderCandidacy = {
  readonly instanceId: string;
  /** Live members of the data centre with the lowest ranks; empty when none is known. */
  readonly rankedIds: readonly string[];
  /** Whether it holds or competes for the data centre's other reader lease. */
  readonly competesElsewhere: boolean;
};

/**
 * Decides whether a daemon competes for a reader's lease. Only the members with
 * the lowest ranks compete, so that the platform sees a few candidates per data
 * centre; the two readers are different daemons.
 *
 * @param candidacy What the daemon knows.
 * @returns True when it competes.
 *
 * @example
 * new LeaseHolder({
 *   ...options,
 *   isCandidate: () => isReaderCandidate({ instanceId, rankedIds: ranks(), competesElsewhere: other.isCompeting() }),
 * });
 */
export function isReaderCandidate(candidacy: ReaderCandidacy): boolean {
  const { instanceId, rankedIds, competesElsewhere } = candidacy;
  const isRanked = rankedIds.length === 0 || rankedIds.includes(instanceId);
  return isRanked && !competesElsewhere;
}

/**
 * Decides whether a daemon competes for the acceptor's lease: only readers do,
 * which have proved that they reach the platform.
 *
 * @param readerLeases Leases of the own data centre's readers.
 * @returns True when it holds one of them.
 *
 * @example
 * const isCandidate = () => isAcceptorCandidate(readerLeases);
 */
export function isAcceptorCandidate(
  readerLeases: readonly { isHeld(): boolean }[],
): boolean {
  return readerLeases.some((lease) => lease.isHeld());
}
