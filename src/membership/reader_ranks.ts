/** Ranks the members of each data centre for the exchange between them. */
import { hash32 } from "../core/hash.ts";
import { isLiveState, type MemberRegistry } from "./member_registry.ts";

/** Daemons of each data centre that exchange with other data centres. */
export const READERS_COUNT = 2;
/** Members that are tried in turn when the readers do not answer. */
const CANDIDATES_COUNT = 6;
const READER_SEED = 103;

type Ranked = { readonly id: string; readonly hash: number };

function insertRanked(ranked: Ranked[], entry: Ranked): void {
  const position = ranked.findIndex((other) => entry.hash < other.hash);
  ranked.splice(position < 0 ? ranked.length : position, 0, entry);
  ranked.length = Math.min(ranked.length, CANDIDATES_COUNT);
}

/**
 * The readers of a data centre are its live members with the lowest hashes, so
 * that every daemon names the same ones without asking the platform.
 */
export class ReaderRanks {
  readonly #registry: MemberRegistry;
  #ranks: Map<string, readonly string[]> | undefined;

  /**
   * @param registry All members.
   */
  constructor(registry: MemberRegistry) {
    this.#registry = registry;
  }

  /** Drops the ranks after a change of the members. */
  invalidate(): void {
    this.#ranks = undefined;
  }

  /** Data centres with live members, sorted. */
  listDataCentres(): string[] {
    return [...this.#read().keys()].sort();
  }

  /** Live members of a data centre in the order in which they are tried. */
  listCandidates(dataCentre: string): readonly string[] {
    return this.#read().get(dataCentre) ?? [];
  }

  /** Readers of a data centre. */
  listReaders(dataCentre: string): readonly string[] {
    return this.listCandidates(dataCentre).slice(0, READERS_COUNT);
  }

  #read(): Map<string, readonly string[]> {
    this.#ranks ??= this.#compute();
    return this.#ranks;
  }

  #compute(): Map<string, readonly string[]> {
    const ranked = new Map<string, Ranked[]>();
    const { table } = this.#registry;
    for (const row of table.rows()) {
      if (!isLiveState(this.#registry.stateAt(row))) {
        continue;
      }
      const dataCentre = table.dataCentreOf(row);
      const list = ranked.get(dataCentre) ?? [];
      ranked.set(dataCentre, list);
      const id = table.idOf(row);
      insertRanked(list, { id, hash: hash32(id, READER_SEED) });
    }
    const entries = [...ranked].map(([dataCentre, list]) =>
      [dataCentre, list.map((entry) => entry.id)] as const
    );
    return new Map(entries);
  }
}
