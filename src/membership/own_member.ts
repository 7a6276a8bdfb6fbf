/** This daemon as a member: its version, its place and its standing. */
import type { PeerConnectivity } from "../decisions/upstream_directory.ts";
import type {
  MemberPlace,
  MemberUpdate,
  MemberVersion,
} from "../schemas/member_schema.ts";
import { compareVersions } from "./member_registry.ts";

/** Silence of all peers after which ownership of keys begins anew, in ms. */
const SELF_FENCE_MS = 3_000;
/**
 * Shortest time between two raises of the incarnation, in ms; it doubles with
 * each raise. Two daemons that were given the same instance id would otherwise
 * outbid each other at the speed of the network.
 */
const RAISE_INTERVAL_MS = 1_000;
const RAISE_INTERVAL_MAX_MS = 60_000;

/** Identity and place with which a daemon starts. */
export type OwnMemberOptions = {
  instanceId: string;
  dataCentre: string;
  /** Start of the daemon, in ms since the epoch. */
  incarnationEpochMs: number;
  place: MemberPlace;
};

/** Keeps the statement that this daemon makes about itself. */
export class OwnMember {
  #update: MemberUpdate;
  #lastAckMs = Number.NEGATIVE_INFINITY;
  #acceptedSinceMs: number;
  #raisesCount = 0;
  #nextRaiseMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options Identity and place.
   * @param nowMs Monotonic time, in ms.
   */
  constructor(options: OwnMemberOptions, nowMs: number) {
    const { instanceId, dataCentre, incarnationEpochMs, place } = options;
    const identity = { instanceId, dataCentre, incarnationEpochMs };
    this.#update = { ...identity, ...place, sequence: 0, state: "alive" };
    this.#acceptedSinceMs = nowMs;
  }

  /**
   * Number of raises of the incarnation. More than one means that another
   * daemon uses the same instance id.
   */
  get raisesCount(): number {
    return this.#raisesCount;
  }

  /** Statement about this daemon, for floods. */
  get update(): MemberUpdate {
    return this.#update;
  }

  /** Instance id. */
  get id(): string {
    return this.#update.instanceId;
  }

  /** Standing without the number of peers. */
  get peerConnectivity(): Omit<PeerConnectivity, "knownPeersCount"> {
    return {
      lastAckMs: this.#lastAckMs,
      acceptedSinceMs: this.#acceptedSinceMs,
    };
  }

  /** Changes state or place under the next sequence. */
  change(fields: Partial<MemberPlace> & Partial<MemberVersion>): void {
    const sequence = this.#update.sequence + 1;
    this.#update = { ...this.#update, sequence, ...fields };
  }

  /**
   * Answers a statement about this daemon that is newer than its own.
   *
   * @param claimed Version that a peer or the platform holds.
   * @param nowMs Monotonic time, in ms.
   * @returns True when the own version was raised and is to be flooded.
   */
  refute(claimed: MemberVersion, nowMs: number): boolean {
    const isOver = this.#update.state === "left";
    if (isOver || compareVersions(claimed, this.#update) <= 0) {
      return false;
    }
    const own = this.#update.incarnationEpochMs;
    // `left` ends an incarnation, so it can only be refuted by a newer one.
    if (claimed.incarnationEpochMs > own || claimed.state === "left") {
      return this.#raiseIncarnation(claimed.incarnationEpochMs + 1, nowMs);
    }
    this.#update = { ...this.#update, sequence: claimed.sequence + 1 };
    return true;
  }

  /** Records that a peer holds this daemon suspect or dead. */
  recordRejection(): void {
    this.#acceptedSinceMs = Number.POSITIVE_INFINITY;
  }

  /**
   * Records that a peer answered a probe.
   *
   * @param isAccepted Whether the peer holds this daemon alive.
   * @param nowMs Monotonic time, in ms.
   */
  acknowledge(isAccepted: boolean, nowMs: number): void {
    const isLapsed = nowMs - this.#lastAckMs > SELF_FENCE_MS;
    if (isAccepted && (isLapsed || this.#acceptedSinceMs > nowMs)) {
      this.#acceptedSinceMs = nowMs;
    }
    // A lapse ends only with an answer of a peer that holds this daemon alive.
    if (isAccepted || !isLapsed) {
      this.#lastAckMs = nowMs;
    }
  }

  /** Records that there is no peer that could answer a probe. */
  recordNoPeers(nowMs: number): void {
    this.#lastAckMs = nowMs;
  }

  /** A raise that is refused now is tried again when a peer answers a probe. */
  #raiseIncarnation(incarnationEpochMs: number, nowMs: number): boolean {
    if (nowMs < this.#nextRaiseMs) {
      return false;
    }
    const intervalMs = RAISE_INTERVAL_MS * 2 ** this.#raisesCount;
    this.#nextRaiseMs = nowMs + Math.min(intervalMs, RAISE_INTERVAL_MAX_MS);
    this.#raisesCount++;
    this.#update = { ...this.#update, incarnationEpochMs, sequence: 0 };
    return true;
  }
}
