/** History of the members that may own keys of a pool in a data centre. */

/**
 * Handover time, in ms: delay before keys move after a join or an unconfirmed
 * death.
 */
export const HANDOVER_MS = 10_000;
/** Time for which the history and the keys are kept, in ms. */
export const KEY_RETENTION_MS = 600_000;

/** Change in the members of the pool. */
export type OwnerEvent = {
  /** `dead`: declared dead; `gone`: confirmed that the instance has ended. */
  readonly kind: "joined" | "dead" | "gone";
  readonly instanceId: string;
  /** Monotonic time, in ms; never before that of an earlier event. */
  readonly atMs: number;
};

/** Members that were eligible during one period. */
export type EligibleList = {
  /** Start of the period, in ms; the end is the start of the next list. */
  readonly fromMs: number;
  /** Instance ids, sorted; empty while there was no member. */
  readonly instanceIds: readonly string[];
};

/** Durations that the table of pools can set for a pool. */
export type OwnerRules = {
  /** Handover time, in ms; see {@link HANDOVER_MS}. */
  readonly handoverMs: number;
  /** Time for which the history is kept, in ms. */
  readonly retentionMs: number;
};

/** Rules of a pool for which the table of pools sets none. */
export const DEFAULT_OWNER_RULES: OwnerRules = {
  handoverMs: HANDOVER_MS,
  retentionMs: KEY_RETENTION_MS,
};

/** Period of a member in the pool, from its join to its loss. */
type Membership = {
  readonly instanceId: string;
  readonly joinedMs: number;
  /** Time when it was declared dead or confirmed gone; infinite before. */
  lostMs: number;
  /** Time when it was confirmed gone; infinite before. */
  confirmedMs: number;
};

function isSameList(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((id, index) => id === b[index]);
}

/**
 * Records which members were eligible as owners during the retention period.
 * Eligible are members that joined at least the handover time ago, and members
 * that were declared dead without confirmation less than the handover time ago.
 * Members that joined within the handover time after the oldest live member are
 * eligible at once.
 *
 * @example
 * owners.record({ kind: "joined", instanceId: "plates-1", atMs: 0 });
 * owners.history(5_000, { sinceMs: 1_000 }); // lists in force after 1 s
 */
export class EligibleOwners {
  readonly #readRules: () => OwnerRules;
  #rules: OwnerRules;
  #memberships: Membership[] = [];
  #lists: readonly EligibleList[] = [];
  /** Time at which the computed lists change without an event. */
  #validUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * @param readRules Reads the current rules of the pool.
   */
  constructor(readRules: () => OwnerRules = () => DEFAULT_OWNER_RULES) {
    this.#readRules = readRules;
    this.#rules = readRules();
  }

  /**
   * Records a change of the members.
   *
   * @param event Join, death or confirmed end of a member.
   */
  record(event: OwnerEvent): void {
    const { kind, instanceId, atMs } = event;
    this.#validUntilMs = Number.NEGATIVE_INFINITY;
    const last = this.#memberships.findLast((membership) =>
      membership.instanceId === instanceId
    );
    const isLive = last?.lostMs === Number.POSITIVE_INFINITY;
    if (kind === "joined") {
      if (last !== undefined && isLive) {
        this.#end(last, { atMs, isConfirmed: true });
      }
      const lostMs = Number.POSITIVE_INFINITY;
      const joined = {
        instanceId,
        joinedMs: atMs,
        lostMs,
        confirmedMs: lostMs,
      };
      this.#memberships.push(joined);
      return;
    }
    if (last !== undefined) {
      this.#end(last, { atMs, isConfirmed: kind === "gone" });
    }
  }

  /**
   * Lists the members that are eligible now.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Instance ids, sorted.
   */
  current(nowMs: number): readonly string[] {
    this.#update(nowMs);
    return this.#lists.at(-1)?.instanceIds ?? [];
  }

  /**
   * Returns the lists that were in force since a time.
   *
   * @param nowMs Monotonic time, in ms.
   * @param options Monotonic start of the period, in ms.
   * @returns Lists, oldest first; the first one was in force at `sinceMs`.
   */
  history(
    nowMs: number,
    options: { sinceMs: number },
  ): readonly EligibleList[] {
    this.#update(nowMs);
    const startIndex = this.#lists.findLastIndex((list) =>
      list.fromMs <= options.sinceMs
    );
    return this.#lists.slice(Math.max(startIndex, 0));
  }

  #end(
    membership: Membership,
    loss: { atMs: number; isConfirmed: boolean },
  ): void {
    membership.lostMs = Math.min(membership.lostMs, loss.atMs);
    if (loss.isConfirmed) {
      membership.confirmedMs = Math.min(membership.confirmedMs, loss.atMs);
    }
  }

  /** End of the eligibility; infinite while the member is alive. */
  #eligibleUntilMs({ lostMs, confirmedMs }: Membership): number {
    return Math.min(lostMs + this.#rules.handoverMs, confirmedMs);
  }

  #update(nowMs: number): void {
    const rules = this.#readRules();
    const isChanged = rules.handoverMs !== this.#rules.handoverMs ||
      rules.retentionMs !== this.#rules.retentionMs;
    if (!isChanged && nowMs < this.#validUntilMs) {
      return;
    }
    this.#rules = rules;
    const oldestMs = nowMs - rules.retentionMs;
    this.#memberships = this.#memberships.filter((membership) =>
      this.#eligibleUntilMs(membership) >= oldestMs
    );
    const times = this.#listTimes();
    this.#lists = this.#buildLists(times, { oldestMs, nowMs });
    const nextMs = times.find((time) => time > nowMs);
    this.#validUntilMs = nextMs ?? Number.POSITIVE_INFINITY;
  }

  /** Times at which the list may change, sorted. */
  #listTimes(): number[] {
    const times = this.#memberships.flatMap((membership) => [
      membership.joinedMs,
      membership.joinedMs + this.#rules.handoverMs,
      membership.lostMs,
      this.#eligibleUntilMs(membership),
    ]);
    return [...new Set(times)].filter(Number.isFinite).sort((a, b) => a - b);
  }

  #buildLists(
    times: readonly number[],
    period: { oldestMs: number; nowMs: number },
  ): EligibleList[] {
    const lists: EligibleList[] = [];
    const { oldestMs, nowMs } = period;
    for (const fromMs of times.filter((time) => time <= nowMs)) {
      const instanceIds = this.#listEligible(fromMs);
      if (fromMs <= oldestMs) {
        lists.length = 0;
      }
      const last = lists.at(-1);
      if (last === undefined || !isSameList(last.instanceIds, instanceIds)) {
        lists.push({ fromMs, instanceIds });
      }
    }
    return lists;
  }

  #listEligible(atMs: number): string[] {
    const live = this.#memberships.filter(({ joinedMs, lostMs }) =>
      joinedMs <= atMs && atMs < lostMs
    );
    const { handoverMs } = this.#rules;
    const earliestMs = Math.min(...live.map(({ joinedMs }) => joinedMs));
    // The members of a new pool are eligible from the start. Otherwise all keys
    // would move to the first member as soon as its handover time has passed.
    const joinedUntilMs = Math.max(atMs - handoverMs, earliestMs + handoverMs);
    const settled = live.filter(({ joinedMs }) => joinedMs <= joinedUntilMs);
    const dead = this.#memberships.filter((membership) =>
      membership.lostMs <= atMs && atMs < this.#eligibleUntilMs(membership)
    );
    const eligible = [...settled, ...dead];
    return [...new Set(eligible.map(({ instanceId }) => instanceId))].sort();
  }
}
