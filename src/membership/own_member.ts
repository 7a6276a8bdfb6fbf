/** This daemon as a member: version, attributes and connectivity with peers. */
import type { PeerConnectivity } from "../decisions/selection/upstream_directory.ts";
import type {
  MemberAttributes,
  MemberUpdate,
  MemberVersion,
} from "../schemas/member_schema.ts";
import { compareVersions } from "./member_registry.ts";

/**
 * Time without an answer of a peer, in ms, that counts as a lapse. After a
 * lapse, this daemon's ownership of keys starts anew when a peer accepts it.
 */
const SELF_FENCE_MS = 3_000;
/**
 * Shortest time between two raises of the incarnation, in ms; it doubles with
 * each raise. Without this limit, two daemons with the same instance id would
 * raise their incarnations in response to each other as fast as the network
 * allows.
 */
const RAISE_INTERVAL_MS = 1_000;
const RAISE_INTERVAL_MAX_MS = 60_000;

/** Initial identity and attributes of a daemon. */
export type OwnMemberOptions = {
  instanceId: string;
  dataCentre: string;
  /** Start of the daemon, in ms since the epoch. */
  incarnationEpochMs: number;
  place: MemberAttributes;
};

/**
 * Keeps the update that describes this daemon, and refutes newer versions of it
 * that others have.
 */
export class OwnMember {
  #update: MemberUpdate;
  #lastAckMs = Number.NEGATIVE_INFINITY;
  #acceptedSinceMs: number;
  #raisesCount = 0;
  #nextRaiseMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options Identity and attributes.
   * @param nowMs Monotonic time, in ms.
   */
  constructor(options: OwnMemberOptions, nowMs: number) {
    const { instanceId, dataCentre, incarnationEpochMs, place } = options;
    const identity = { instanceId, dataCentre, incarnationEpochMs };
    this.#update = { ...identity, ...place, sequence: 0, state: "alive" };
    this.#acceptedSinceMs = nowMs;
  }

  /**
   * Number of raises of the incarnation. One raise may follow a clock that was
   * set back; more mean that another daemon uses the same instance id.
   */
  get raisesCount(): number {
    return this.#raisesCount;
  }

  /** Update that describes this daemon, for floods. */
  get update(): MemberUpdate {
    return this.#update;
  }

  /** Instance id. */
  get id(): string {
    return this.#update.instanceId;
  }

  /** Connectivity with the peers, without their number. */
  get peerConnectivity(): Omit<PeerConnectivity, "knownPeersCount"> {
    return {
      lastAckMs: this.#lastAckMs,
      acceptedSinceMs: this.#acceptedSinceMs,
    };
  }

  /** Changes the state or attributes, and increments the sequence. */
  change(fields: Partial<MemberAttributes> & Partial<MemberVersion>): void {
    const sequence = this.#update.sequence + 1;
    this.#update = { ...this.#update, sequence, ...fields };
  }

  /**
   * Refutes a version of this daemon that is newer than the current one.
   *
   * @param claimed Version that a peer or the platform stores.
   * @param nowMs Monotonic time, in ms.
   * @returns True when the own version was raised and is to be flooded.
   */
  refute(claimed: MemberVersion, nowMs: number): boolean {
    const hasLeft = this.#update.state === "left";
    if (hasLeft || compareVersions(claimed, this.#update) <= 0) {
      return false;
    }
    const own = this.#update.incarnationEpochMs;
    // `left` ends an incarnation, so only a newer incarnation can refute it.
    if (claimed.incarnationEpochMs > own || claimed.state === "left") {
      return this.#raiseIncarnation(claimed.incarnationEpochMs + 1, nowMs);
    }
    this.#update = { ...this.#update, sequence: claimed.sequence + 1 };
    return true;
  }

  /** Records that a peer considers this daemon suspect or ended. */
  recordRejection(): void {
    this.#acceptedSinceMs = Number.POSITIVE_INFINITY;
  }

  /**
   * Records that a peer answered a probe.
   *
   * @param isAccepted Whether the peer considers this daemon alive or leaving.
   * @param nowMs Monotonic time, in ms.
   */
  recordAnswer(isAccepted: boolean, nowMs: number): void {
    const isLapsed = nowMs - this.#lastAckMs > SELF_FENCE_MS;
    if (isAccepted && (isLapsed || this.#acceptedSinceMs > nowMs)) {
      this.#acceptedSinceMs = nowMs;
    }
    // After a lapse, only an answer of a peer that accepts this daemon counts.
    if (isAccepted || !isLapsed) {
      this.#lastAckMs = nowMs;
    }
  }

  /** Records that no peer exists that could answer a probe. */
  recordNoPeers(nowMs: number): void {
    this.#lastAckMs = nowMs;
  }

  /**
   * Raises the incarnation, unless the last raise is too recent. The next
   * answer to a probe then tries again, since it contains the newer version.
   */
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
