/** Access to the membership of a daemon, also before the join. */
import type {
  NeighbourSource,
  Peer,
  PeerIdentity,
} from "../core/peer_transport.ts";
import type { EligibleOwners } from "../decisions/keys/eligible_owners.ts";
import type {
  Endpoint,
  PeerConnectivity,
  UpstreamDirectory,
} from "../decisions/selection/upstream_directory.ts";
import type { MembershipPart } from "../membership/membership_part.ts";
import type { Announcement } from "../schemas/settings_schema.ts";
import type { MemberStatus } from "../schemas/status_schema.ts";

const NO_ENDPOINTS: readonly Endpoint[] = [];
const NO_PEERS: readonly Peer[] = [];
const NO_PEER_CONNECTIVITY: PeerConnectivity = {
  knownPeersCount: 0,
  lastAckMs: 0,
  acceptedSinceMs: 0,
};

/**
 * Delegates to the membership, which is constructed only after the listeners
 * are bound because it announces their ports. Until then, all lists are empty.
 */
export class MembershipHandle implements UpstreamDirectory, NeighbourSource {
  readonly #initialIdentity: PeerIdentity;
  #membership: MembershipPart | undefined;

  /**
   * @param initialIdentity Identity before the membership is connected.
   */
  constructor(initialIdentity: PeerIdentity) {
    this.#initialIdentity = initialIdentity;
  }

  /** Identity of this daemon; the membership may raise its incarnation. */
  get identity(): PeerIdentity {
    return this.#membership?.identity ?? this.#initialIdentity;
  }

  /**
   * Connects the membership.
   *
   * @param membership Membership to delegate to.
   */
  connect(membership: MembershipPart): void {
    this.#membership = membership;
  }

  /** @inheritdoc */
  endpoints(pool: string): readonly Endpoint[] {
    return this.#membership?.directory.endpoints(pool) ?? NO_ENDPOINTS;
  }

  /** @inheritdoc */
  changedMs(pool: string, dataCentre: string): number {
    return this.#membership?.directory.changedMs(pool, dataCentre) ?? 0;
  }

  /** @inheritdoc */
  peerConnectivity(): PeerConnectivity {
    return this.#membership?.directory.peerConnectivity() ??
      NO_PEER_CONNECTIVITY;
  }

  /** @inheritdoc */
  neighbours(): readonly Peer[] {
    return this.#membership?.directory.neighbours() ?? NO_PEERS;
  }

  /** @inheritdoc */
  remoteReaders(): readonly Peer[] {
    return this.#membership?.directory.remoteReaders() ?? NO_PEERS;
  }

  /**
   * Returns the history of the eligible owners of a pool's keys.
   *
   * @param pool Pool name.
   * @param dataCentre Home data centre of the keys.
   * @returns The history; undefined before the join.
   */
  eligibleOwners(pool: string, dataCentre: string): EligibleOwners | undefined {
    return this.#membership?.directory.eligibleOwners(pool, dataCentre);
  }

  /**
   * Lists the ids of the members of this data centre that compete for its reader
   * leases; empty before the join.
   */
  leaseCandidateIds(): readonly string[] {
    return this.#membership?.leaseCandidateIds() ?? [];
  }

  /** Lists all members for `/status`. */
  listMembers(): MemberStatus[] {
    return this.#membership?.listMembers() ?? [];
  }

  /**
   * Announces the local upstream to the peers, or withdraws it.
   *
   * @param announcement Announcement in force; undefined for none.
   */
  publish(announcement: Announcement | undefined): void {
    if (announcement === undefined) {
      this.#membership?.withdraw();
      return;
    }
    this.#membership?.announce(announcement);
  }

  /**
   * Informs the peers whether this instance refuses new work.
   *
   * @param isLeaving True while it refuses new work.
   */
  setLeaving(isLeaving: boolean): void {
    if (isLeaving) {
      this.#membership?.drain();
      return;
    }
    this.#membership?.undrain();
  }

  /** Informs the peers that this daemon ends. */
  async leave(): Promise<void> {
    await this.#membership?.leave();
  }
}
