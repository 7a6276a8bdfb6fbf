/** Buckets of the tenants that one daemon owns, and the leases of the members. */
import { CapBucket } from "./cap_bucket.ts";
import { LEASE_MS, type UsageCap } from "./cap_limits.ts";
import type {
  CapAsk,
  CapGrant,
  CapHeld,
  TenantAsk,
  TenantGrant,
} from "./cap_messages.ts";
import { Lateness } from "./lateness.ts";
import { SeenNumbers } from "./seen_numbers.ts";

/**
 * Returned tokens in a message that took longer are not credited. They may
 * belong to the last window.
 */
const CREDIT_LATE_MAX_MS = 300;
/** Time after which a member that is not heard of is forgotten. */
const FORGET_MS = 60_000;

/** Time that is told to members while this owner has no bucket of the tenant. */
const NO_BUCKET_ROOM_MS = 1_000;
/** Time without a tick after which ended leases are looked for. */
const TICK_MISSING_MAX_MS = 300;

/** What the owner knows of one member. */
type Lessee = {
  readonly processId: number;
  /** The member's process before; late messages of it are ignored. */
  readonly formerProcessId: number | undefined;
  readonly lateness: Lateness;
  readonly seen: SeenNumbers;
  listNumber: number;
  tenantNames: ReadonlySet<string>;
  expiresAtMs: number;
  membersCount: number;
  /** Number of the newest report on held requests. */
  heldSequence: number;
};

/**
 * Answers asks for tokens. Each member leases its share (one of all members) of
 * a tenant's rate to one owner at a time; an owner earns only what is leased to
 * it. A lost lease is therefore lost income and never counted twice.
 */
export class CapOwner {
  #caps: ReadonlyMap<string, UsageCap> = new Map();
  readonly #buckets = new Map<string, CapBucket>();
  readonly #lessees = new Map<string, Lessee>();
  #membersCount = 1;
  #tickedAtMs = -Infinity;
  #grantedCount = 0;

  /** Tenants of which at least one member uses this owner. */
  get ownedCount(): number {
    return this.#buckets.size;
  }

  /** Number of granted tokens since the start. */
  get grantedCount(): number {
    return this.#grantedCount;
  }

  /**
   * Applies the caps of a configuration to the buckets, at once.
   *
   * @param caps Caps by tenant.
   * @param nowMs Monotonic time, in ms.
   */
  applyCaps(caps: ReadonlyMap<string, UsageCap>, nowMs: number): void {
    this.#caps = caps;
    for (const [tenantName, bucket] of this.#buckets) {
      const cap = caps.get(tenantName);
      if (cap === undefined) {
        this.#buckets.delete(tenantName);
      } else {
        bucket.changeCap(cap, nowMs);
      }
    }
    this.#updateShares(nowMs);
  }

  /**
   * Ends the leases that were not renewed.
   *
   * @param membersCount Known members, including this daemon.
   * @param nowMs Monotonic time, in ms.
   */
  tick(membersCount: number, nowMs: number): void {
    const hasChanged = membersCount !== this.#membersCount;
    this.#membersCount = membersCount;
    this.#tickedAtMs = nowMs;
    let hasExpired = false;
    for (const [name, lessee] of this.#lessees) {
      // A process that has ended may return under the same name much later; until
      // then its number guards against late messages.
      if (lessee.expiresAtMs <= nowMs && lessee.tenantNames.size > 0) {
        lessee.tenantNames = new Set();
        lessee.listNumber = -1;
        hasExpired = true;
      } else if (nowMs - lessee.expiresAtMs > FORGET_MS) {
        this.#lessees.delete(name);
      }
    }
    if (hasChanged || hasExpired) {
      this.#updateShares(nowMs);
    }
  }

  /**
   * Handles a message of a member.
   *
   * @param memberName Name of the member; may be this daemon.
   * @param ask The message.
   * @param nowMs Monotonic time, in ms.
   * @returns The answer; undefined for a duplicate or overtaken message, and for
   *   one that needs none.
   */
  handle(
    memberName: string,
    ask: CapAsk,
    nowMs: number,
  ): CapGrant | undefined {
    if (nowMs - this.#tickedAtMs > TICK_MISSING_MAX_MS) {
      // After a pause of the process, leases may have ended long ago.
      this.tick(this.#membersCount, nowMs);
    }
    const lessee = this.#lesseeOf(memberName, ask);
    // An overtaken message may carry an older list of leases.
    const isNewest = ask.sequence > lessee.seen.highest;
    if (
      ask.processId !== lessee.processId || !lessee.seen.add(ask.sequence)
    ) {
      return undefined;
    }
    const lateMs = lessee.lateness.record(ask.sentAtMs, nowMs);
    const isListKnown = ask.listNumber === lessee.listNumber;
    const carried = isNewest
      ? this.#renew(lessee, ask, nowMs + LEASE_MS - lateMs, nowMs)
      : [];
    if (lateMs < CREDIT_LATE_MAX_MS) {
      this.#credit(ask, nowMs);
    }
    const grants = ask.tenants
      .filter(({ waitingCount, prefetchCount }) =>
        waitingCount + prefetchCount > 0
      )
      .map((tenantAsk) => this.#grant(tenantAsk, nowMs));
    if (
      grants.length + carried.length === 0 && !ask.leasedTenants && isListKnown
    ) {
      return undefined;
    }
    const { processId, sequence } = ask;
    return {
      processId,
      sequence,
      listNumber: lessee.listNumber,
      tenants: [...grants, ...carried],
    };
  }

  /**
   * Handles the report of a member on requests that started late, or may do so.
   * An overtaken report is ignored.
   *
   * @param memberName Name of the member; may be this daemon.
   * @param held The report.
   * @param nowMs Monotonic time, in ms.
   */
  handleHeld(memberName: string, held: CapHeld, nowMs: number): void {
    const lessee = this.#lessees.get(memberName);
    if (
      lessee?.processId !== held.processId ||
      held.sequence <= lessee.heldSequence
    ) {
      return;
    }
    lessee.heldSequence = held.sequence;
    const counts = new Map(
      held.tenants.map(({ tenantName, heldCount }) => [tenantName, heldCount]),
    );
    for (const [tenantName, bucket] of this.#buckets) {
      bucket.window.setHeld(memberName, counts.get(tenantName) ?? 0, nowMs);
    }
  }

  #credit({ tenants }: CapAsk, nowMs: number): void {
    for (const { tenantName, returnedCount, carriedCount } of tenants) {
      const bucket = this.#buckets.get(tenantName);
      bucket?.credit(carriedCount, nowMs);
      bucket?.takeBack(returnedCount, nowMs);
    }
  }

  #lesseeOf(memberName: string, { processId }: CapAsk): Lessee {
    const known = this.#lessees.get(memberName);
    if (
      known !== undefined &&
      (known.processId === processId || known.formerProcessId === processId)
    ) {
      return known;
    }
    const lessee: Lessee = {
      processId,
      formerProcessId: known?.processId,
      lateness: new Lateness(),
      seen: new SeenNumbers(),
      listNumber: -1,
      tenantNames: known?.tenantNames ?? new Set(),
      expiresAtMs: known?.expiresAtMs ?? 0,
      membersCount: 1,
      heldSequence: 0,
    };
    this.#lessees.set(memberName, lessee);
    return lessee;
  }

  /** Renews a lease. Returns the tokens that the member takes to other owners. */
  #renew(
    lessee: Lessee,
    ask: CapAsk,
    expiresAtMs: number,
    nowMs: number,
  ): TenantGrant[] {
    const isActive = lessee.expiresAtMs > nowMs;
    const isKnownList = ask.listNumber === lessee.listNumber;
    if (ask.leasedTenants === undefined && !isKnownList) {
      // The list was lost. The member sends it until it is acknowledged.
      return [];
    }
    const carried = ask.leasedTenants !== undefined && !isKnownList && isActive
      ? this.#release(lessee, new Set(ask.leasedTenants), nowMs)
      : [];
    const hadTenants = isActive && lessee.tenantNames.size > 0;
    if (ask.leasedTenants !== undefined) {
      lessee.tenantNames = new Set(ask.leasedTenants);
      lessee.listNumber = ask.listNumber;
    }
    lessee.expiresAtMs = expiresAtMs;
    const hasMoreMembers = ask.membersCount !== lessee.membersCount;
    lessee.membersCount = ask.membersCount;
    if (!isKnownList || !hadTenants || hasMoreMembers) {
      this.#updateShares(nowMs);
    }
    return carried;
  }

  #release(
    lessee: Lessee,
    kept: ReadonlySet<string>,
    nowMs: number,
  ): TenantGrant[] {
    const released: TenantGrant[] = [];
    const ownPart = 1 / this.#totalMembersCount();
    for (const tenantName of lessee.tenantNames) {
      const bucket = this.#buckets.get(tenantName);
      if (bucket === undefined || kept.has(tenantName) || bucket.share <= 0) {
        continue;
      }
      const part = Math.min(1, ownPart / bucket.share);
      released.push({
        tenantName,
        grantedCount: 0,
        deniedCount: 0,
        roomInMs: 0,
        carriedCount: bucket.removePart(part, nowMs),
      });
    }
    return released;
  }

  #grant(
    { tenantName, waitingCount, prefetchCount }: TenantAsk,
    nowMs: number,
  ): TenantGrant {
    const bucket = this.#buckets.get(tenantName);
    const taken = bucket?.take(waitingCount, nowMs) ?? 0;
    const deniedCount = waitingCount - taken;
    const prefetched = deniedCount === 0
      ? bucket?.prefetch(prefetchCount, nowMs) ?? 0
      : 0;
    this.#grantedCount += taken + prefetched;
    return {
      tenantName,
      grantedCount: taken + prefetched,
      deniedCount,
      roomInMs: deniedCount > 0
        ? bucket?.roomInMs(deniedCount) ?? NO_BUCKET_ROOM_MS
        : 0,
      carriedCount: 0,
    };
  }

  /**
   * Members among which the rate is divided: the most that this daemon or a
   * lessee knows, since a daemon that has just started may know only a few.
   */
  #totalMembersCount(): number {
    let count = this.#membersCount;
    for (const lessee of this.#lessees.values()) {
      if (lessee.tenantNames.size > 0) {
        count = Math.max(count, lessee.membersCount);
      }
    }
    return count;
  }

  #updateShares(nowMs: number): void {
    const totalCount = this.#totalMembersCount();
    const lesseesCounts = new Map<string, number>();
    for (const { tenantNames, expiresAtMs } of this.#lessees.values()) {
      if (expiresAtMs <= nowMs) {
        continue;
      }
      for (const tenantName of tenantNames) {
        const count = lesseesCounts.get(tenantName) ?? 0;
        lesseesCounts.set(tenantName, count + 1);
      }
    }
    for (const tenantName of this.#buckets.keys()) {
      if (!lesseesCounts.has(tenantName)) {
        this.#buckets.delete(tenantName);
      }
    }
    for (const [tenantName, count] of lesseesCounts) {
      const cap = this.#caps.get(tenantName);
      if (cap !== undefined) {
        this.#bucketOf(tenantName, cap, nowMs)
          .changeShare(count / totalCount, nowMs);
      }
    }
  }

  #bucketOf(tenantName: string, cap: UsageCap, nowMs: number): CapBucket {
    const known = this.#buckets.get(tenantName);
    if (known !== undefined) {
      return known;
    }
    const bucket = new CapBucket(cap, nowMs);
    this.#buckets.set(tenantName, bucket);
    return bucket;
  }
}
