/** Decides which suspects are dead because they did not refute in time. */
import type { MemberUpdate } from "../schemas/member_schema.ts";
import type { MemberRegistry, Suspicion } from "./member_registry.ts";

/** Time for a suspect to refute a suspicion before it is declared dead, in ms. */
export const SUSPICION_MS = 4_000;
const CONFIRMING_OBSERVERS_COUNT = 2;

/**
 * Timeouts of the suspicions. When a suspicion expires, this daemon declares the
 * member dead in one of these cases:
 *
 * - This daemon and a second observer suspect the member.
 * - This daemon suspects the member, and no other observer of it is alive.
 * - Another daemon has declared the member dead.
 */
export class SuspicionTimeouts {
  readonly #registry: MemberRegistry;
  readonly #ownId: string;

  /**
   * @param registry All members.
   * @param ownId Instance id of this daemon.
   */
  constructor(registry: MemberRegistry, ownId: string) {
    this.#registry = registry;
    this.#ownId = ownId;
  }

  /**
   * Creates the update by which this daemon suspects a member.
   *
   * @param member Current update of the member.
   * @returns Update to apply and flood.
   */
  createSuspicion(member: MemberUpdate): MemberUpdate {
    const isLeaving = member.state === "leaving" ||
      member.state === "leavingSuspect";
    const state = isLeaving ? "leavingSuspect" : "suspect";
    return { ...member, state, suspectedBy: this.#ownId };
  }

  /**
   * Extends all suspicions after a pause of this daemon's event loop, during
   * which it could not receive refutations.
   *
   * @param pauseMs Length of the pause, in ms.
   */
  postpone(pauseMs: number): void {
    for (const suspicion of this.#registry.suspicions.values()) {
      suspicion.sinceMs += pauseMs;
    }
  }

  /**
   * Lists the suspects to declare dead.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Updates to apply and flood.
   */
  listExpired(nowMs: number): MemberUpdate[] {
    const expired: MemberUpdate[] = [];
    for (const [instanceId, suspicion] of this.#registry.suspicions) {
      const isDue = nowMs - suspicion.sinceMs >= SUSPICION_MS;
      const member = this.#registry.updateOf(instanceId);
      if (isDue && member && this.#isConfirmed(instanceId, suspicion)) {
        const { suspectedBy: _observer, ...rest } = member;
        expired.push({ ...rest, state: "dead" });
      }
    }
    return expired;
  }

  #isConfirmed(instanceId: string, suspicion: Suspicion): boolean {
    if (suspicion.claimedDead) {
      return true;
    }
    if (!suspicion.observers.includes(this.#ownId)) {
      return false;
    }
    return suspicion.observers.length >= CONFIRMING_OBSERVERS_COUNT ||
      !this.#hasOtherObserver(instanceId);
  }

  #hasOtherObserver(instanceId: string): boolean {
    return this.#registry.rings.observersOf(instanceId).some((observer) => {
      const state = this.#registry.versionOf(observer)?.state;
      const isAlive = state === "alive" || state === "leaving";
      return observer !== this.#ownId && isAlive;
    });
  }
}
