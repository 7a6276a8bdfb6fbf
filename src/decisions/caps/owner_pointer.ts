/** Which owner a daemon uses for one tenant, and from when it leases to it. */
import { rankCapOwners } from "./owner_choice.ts";

/** Connections of a daemon to the candidates. */
export interface CandidateView {
  /** Name of this daemon. */
  readonly ownName: string;
  /** Names of the candidates. */
  readonly candidates: readonly string[];
  /**
   * Monotonic time since which a candidate can be used, in ms; undefined for one
   * that is not connected or stops soon.
   */
  upSinceMs(name: string): number | undefined;
  /** Whether messages reach a candidate; true for this daemon. */
  isConnected(name: string): boolean;
}

/**
 * Time for which a preferred owner must be connected before a daemon leaves a
 * working one for it. A link that goes up and down would move the tenant often.
 */
const STABLE_MIN_MS = 2_000;
/**
 * Time after a move in which requests that get no token are also asked for at
 * the former owner, which may hold the shares of daemons that move later.
 */
const FORMER_MAX_MS = 3_000;

/** The first connected candidate in the order of the tenant. */
export class OwnerPointer {
  readonly #tenantName: string;
  #rankedOf: readonly string[] | undefined;
  #ranked: readonly string[] = [];
  #former: string | undefined;
  #movedAtMs = -Infinity;
  /** Times until which former owners may count this daemon's lease, in ms. */
  readonly #holds = new Map<
    string,
    { readonly untilMs: number; readonly listNumber: number }
  >();
  /** Name of the owner; undefined before the first choice. */
  owner: string | undefined;

  /**
   * @param tenantName Name of the tenant.
   */
  constructor(tenantName: string) {
    this.#tenantName = tenantName;
  }

  /**
   * Chooses the owner again.
   *
   * @param view Connections to the candidates.
   * @param isLeased Whether the share is leased to the present owner.
   * @param nowMs Monotonic time, in ms.
   * @returns The owner that was left; undefined without a change.
   */
  choose(
    view: CandidateView,
    isLeased: boolean,
    nowMs: number,
  ): string | undefined {
    const next = this.#findOwner(view, isLeased, nowMs);
    const former = this.owner;
    if (next === former) {
      return undefined;
    }
    this.owner = next;
    this.#former = former;
    this.#movedAtMs = nowMs;
    return former;
  }

  /** The former owner, if it may be asked, too. */
  recentFormer(nowMs: number): string | undefined {
    return nowMs - this.#movedAtMs < FORMER_MAX_MS ? this.#former : undefined;
  }

  /**
   * Delays the lease to other owners.
   *
   * @param ownerName Owner that was left.
   * @param untilMs Monotonic time until which it may count the lease, in ms.
   * @param listNumber First list without the tenant.
   */
  hold(ownerName: string, untilMs: number, listNumber: number): void {
    this.#holds.set(ownerName, { untilMs, listNumber });
  }

  /**
   * Ends the delay because the former owner counts the lease no longer.
   *
   * @param ownerName Owner that was left.
   * @param listNumber List that it uses.
   */
  release(ownerName: string, listNumber: number): void {
    const hold = this.#holds.get(ownerName);
    if (hold !== undefined && listNumber >= hold.listNumber) {
      this.#holds.delete(ownerName);
    }
  }

  /**
   * Returns whether no other owner may still count the lease.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns True when the share may be leased to the owner.
   */
  mayLease(nowMs: number): boolean {
    for (const [name, { untilMs }] of this.#holds) {
      if (nowMs >= untilMs) {
        this.#holds.delete(name);
      } else if (name !== this.owner) {
        return false;
      }
    }
    return this.owner !== undefined;
  }

  #findOwner(view: CandidateView, isLeased: boolean, nowMs: number): string {
    if (this.#rankedOf !== view.candidates) {
      this.#rankedOf = view.candidates;
      this.#ranked = rankCapOwners(this.#tenantName, view.candidates);
    }
    const connected = this.#ranked
      .filter((name) => view.upSinceMs(name) !== undefined);
    // A daemon that has just started would stay with the first one that connects,
    // often itself, and has leased nothing that it would have to move.
    const isKept = isLeased && connected.includes(this.owner ?? "");
    const first = isKept
      ? connected.find((name) =>
        name === this.owner ||
        nowMs - (view.upSinceMs(name) as number) >= STABLE_MIN_MS
      )
      : connected[0];
    // Without a connected candidate, each daemon owns its own share.
    return first ?? view.ownName;
  }
}
