/** Election of the few daemons of a data centre that watch the store closely. */
import { hash32 } from "../core/hash.ts";

/** A daemon that may be elected, as another one sees it. */
export type WatcherCandidate = {
  /** Whether it is connected. */
  readonly isUp: boolean;
  /** Whether it watches the store and the store answers it. */
  readonly isWatching: boolean;
};

/**
 * Daemons of all data centres that watch the store closely, so that a change is
 * noticed although the connection of one is silent and another one is lost.
 */
const WATCHERS_MIN_COUNT = 3;
/**
 * Daemons of a data centre that may be elected. It bounds the calls to a store
 * that answers nobody.
 */
const CANDIDATES_COUNT = 4;

/**
 * Computes how many daemons of a data centre watch the store closely.
 *
 * @param dataCentresCount Number of data centres with members.
 * @returns At least 1, so that a data centre that is cut off from the others
 *   notices changes.
 */
export function watchersCount(dataCentresCount: number): number {
  return Math.ceil(WATCHERS_MIN_COUNT / Math.max(1, dataCentresCount));
}

/**
 * Ranks the members of a data centre; all daemons compute the same order.
 *
 * @param names Names of all known members of the data centre.
 * @returns Names of the candidates, most preferred first.
 */
export function rankCandidates(names: Iterable<string>): string[] {
  return [...names]
    .map((name) => ({ name, rank: hash32(name) }))
    .sort((a, b) => b.rank - a.rank || (a.name < b.name ? -1 : 1))
    .slice(0, CANDIDATES_COUNT)
    .map(({ name }) => name);
}

/** View of one daemon for {@link isElected}. */
export type ElectionView = {
  /** Whether this daemon is a candidate itself. */
  isCandidate: boolean;
  /**
   * The candidates that are preferred to this daemon; all other candidates if
   * it is not one itself.
   */
  preferred: readonly WatcherCandidate[];
  /** Daemons of this data centre that should watch. */
  wantedCount: number;
};

/**
 * Decides whether this daemon watches the store closely. A candidate does while
 * fewer preferred ones watch than are wanted. Any other daemon does only while it is
 * connected to no candidate, since nobody would notify it.
 *
 * Two daemons that decide on different views may both watch, or neither; a
 * daemon that is not elected still watches the store, but with older data.
 *
 * @param view What this daemon knows of the candidates.
 * @returns True when it should watch.
 */
export function isElected(
  { isCandidate, preferred, wantedCount }: ElectionView,
): boolean {
  if (!isCandidate) {
    return preferred.every(({ isUp }) => !isUp);
  }
  const watchingCount = preferred
    .filter(({ isUp, isWatching }) => isUp && isWatching).length;
  return watchingCount < wantedCount;
}
