/** Ranks the members of each data centre to choose its readers. */
import { hash32 } from "../core/hash.ts";
import {
  isLiveState,
  type MemberChange,
  type MemberRegistry,
} from "./member_registry.ts";

/** Readers per data centre: members that synchronise with other data centres. */
export const READERS_COUNT = 2;
/**
 * Number of ranked members per data centre, readers included. The readers of
 * other data centres synchronise with them in turn, so that an exchange remains
 * possible when the readers do not answer.
 */
const CANDIDATES_COUNT = 6;
const READER_SEED = 103;

type RankedMember = { readonly id: string; readonly hash: number };

function rankMember(id: string): RankedMember {
  return { id, hash: hash32(id, READER_SEED) };
}

function insertRanked(ranked: RankedMember[], entry: RankedMember): void {
  if (ranked.some(({ id }) => id === entry.id)) {
    return;
  }
  const position = ranked.findIndex((other) => entry.hash < other.hash);
  ranked.splice(position < 0 ? ranked.length : position, 0, entry);
  ranked.length = Math.min(ranked.length, CANDIDATES_COUNT);
}

/**
 * The readers of a data centre are its live members with the lowest hashes, so
 * that all daemons choose the same ones without asking the platform.
 *
 * Only the loss of a candidate requires a pass over all members. A pass for
 * each change took 5.6 ms at 26,000 members, too long for the restart of a data
 * centre.
 */
export class ReaderRanks {
  readonly #registry: MemberRegistry;
  readonly #ranks = new Map<string, RankedMember[]>();
  /** Data centres that lost a candidate, whose ranks must be recomputed. */
  readonly #outdated = new Set<string>();

  /**
   * @param registry All members.
   */
  constructor(registry: MemberRegistry) {
    this.#registry = registry;
  }

  /** Updates the ranks after changes of the members. */
  applyChanges(changes: readonly MemberChange[]): void {
    for (const { kind, dataCentre, instanceId } of changes) {
      if (kind === "updated") {
        continue;
      }
      const ranked = this.#ranks.get(dataCentre) ?? [];
      this.#ranks.set(dataCentre, ranked);
      if (kind === "joined") {
        insertRanked(ranked, rankMember(instanceId));
      } else if (ranked.some(({ id }) => id === instanceId)) {
        this.#outdated.add(dataCentre);
      }
    }
  }

  /** Data centres with live members, sorted. */
  listDataCentres(): string[] {
    return [...this.#ranks.keys()]
      .filter((dataCentre) => this.listCandidates(dataCentre).length > 0)
      .sort();
  }

  /** Live members of a data centre by rank, at most six. */
  listCandidates(dataCentre: string): readonly string[] {
    if (this.#outdated.delete(dataCentre)) {
      this.#ranks.set(dataCentre, this.#computeRanks(dataCentre));
    }
    return (this.#ranks.get(dataCentre) ?? []).map(({ id }) => id);
  }

  /** Readers of a data centre. */
  listReaders(dataCentre: string): readonly string[] {
    return this.listCandidates(dataCentre).slice(0, READERS_COUNT);
  }

  #computeRanks(dataCentre: string): RankedMember[] {
    const ranked: RankedMember[] = [];
    const { table } = this.#registry;
    for (const row of table.rows()) {
      const isCandidate = table.dataCentreOf(row) === dataCentre &&
        isLiveState(this.#registry.stateAt(row));
      if (isCandidate) {
        insertRanked(ranked, rankMember(table.idOf(row)));
      }
    }
    return ranked;
  }
}
