/** Decides which daemons compete for leases. */

/** Input of {@link isReaderCandidate}. */
export type ReaderCandidacy = {
  readonly instanceId: string;
  /** Live members of the data centre with the lowest ranks; empty when none is known. */
  readonly rankedIds: readonly string[];
  /** Whether the daemon holds or competes for the data centre's other reader lease. */
  readonly competesElsewhere: boolean;
};

/**
 * Decides whether a daemon competes for a reader's lease. Only the members with
 * the lowest ranks compete, so that only a few candidates per data centre call
 * the platform. A daemon competes for one of the two leases at most, so that
 * the two readers are different daemons.
 *
 * @param candidacy Daemon, ranked members and state of its other reader lease.
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
 * Decides whether a daemon competes for the acceptor's lease. Only readers do,
 * because a held reader lease shows that the daemon reaches the platform.
 *
 * @param readerLeases Reader leases of the daemon's data centre.
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
