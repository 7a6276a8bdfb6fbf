/** Combines the histories of members and pools into the owners of keys. */
import {
  DEFAULT_OWNER_RULES,
  type EligibleOwners,
  type OwnerRules,
} from "../decisions/keys/eligible_owners.ts";
import type { OwnerHistory, OwnerList } from "../decisions/keys/key_owner.ts";
import type { Pool } from "../schemas/tables_schema.ts";
import type { PlacementHistory } from "./placement_history.ts";

/** Histories and clocks that {@link MemberOwners} reads. */
export type MemberOwnersParts = {
  /** History of the eligible members of a pool in a data centre. */
  eligibleOwners: (
    pool: string,
    dataCentre: string,
  ) => EligibleOwners | undefined;
  placements: PlacementHistory;
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
  /** Reads the key clock, which dates keys, in ms since the epoch. */
  nowEpochMs: () => number;
};

/**
 * Merges the history of a pool's members and that of its data centres into
 * periods in which neither changes. Both histories use the monotonic clock; the
 * periods use the key clock.
 */
export class MemberOwners implements OwnerHistory {
  readonly #parts: MemberOwnersParts;

  /**
   * @param parts Histories and clocks.
   */
  constructor(parts: MemberOwnersParts) {
    this.#parts = parts;
  }

  /** @inheritdoc */
  lists(
    pool: string,
    dataCentre: string,
    fromEpochMs: number,
  ): readonly OwnerList[] {
    const { eligibleOwners, placements } = this.#parts;
    const nowMs = this.#parts.nowMs();
    const epochOffsetMs = this.#parts.nowEpochMs() - nowMs;
    const sinceMs = fromEpochMs - epochOffsetMs;
    const owners = eligibleOwners(pool, dataCentre)
      ?.history(nowMs, { sinceMs }) ?? [];
    const placementPeriods = placements.history(pool, { sinceMs });
    const [first] = owners;
    if (
      first === undefined || first.fromMs > sinceMs ||
      placementPeriods.length === 0
    ) {
      return [];
    }
    const starts = new Set(
      [...owners, ...placementPeriods].map(({ fromMs }) =>
        Math.max(fromMs, sinceMs)
      ),
    );
    return [...starts].sort((a, b) => a - b).map((startMs) => ({
      sinceEpochMs: startMs + epochOffsetMs,
      dataCentres: periodAt(placementPeriods, startMs)?.dataCentres ?? [],
      instanceIds: periodAt(owners, startMs)?.instanceIds ?? [],
    }));
  }
}

function periodAt<T extends { readonly fromMs: number }>(
  periods: readonly T[],
  timeMs: number,
): T | undefined {
  return periods.findLast(({ fromMs }) => fromMs <= timeMs);
}

/**
 * Returns the rules for the owners of a pool's keys.
 *
 * @param pool Entry of the table of pools; undefined for the defaults.
 * @returns Rules for the history of owners.
 */
export function ownerRulesOf(pool: Pool | undefined): OwnerRules {
  if (pool === undefined) {
    return DEFAULT_OWNER_RULES;
  }
  const { handoverMs, keyRetentionMs } = pool;
  return { handoverMs, retentionMs: keyRetentionMs };
}
