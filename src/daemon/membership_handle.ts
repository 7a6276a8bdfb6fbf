/** Membership of a daemon before and after it has joined its peers. */
import type {
  NeighbourSource,
  Peer,
  PeerIdentity,
} from "../core/peer_transport.ts";
import type { EligibleOwners } from "../decisions/eligible_owners.ts";
import type {
  Endpoint,
  PeerConnectivity,
  UpstreamDirectory,
} from "../decisions/upstream_directory.ts";
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
 * Passes calls on to the membership, which is constructed after the listeners
 * are bound because it announces their ports. Empty until then.
 */
export class MembershipHandle implements UpstreamDirectory, NeighbourSource {
  readonly #startIdentity: PeerIdentity;
  #membership: MembershipPart | undefined;

  /**
   * @param startIdentity Identity until the membership states its own.
   */
  constructor(startIdentity: PeerIdentity) {
    this.#startIdentity = startIdentity;
  }

  /** Identity of this daemon; its incarnation may be raised. */
  get identity(): PeerIdentity {
    return this.#membership?.identity ?? this.#startIdentity;
  }

  /**
   * Connects the membership.
   *
   * @param membership Membership to pass calls on to.
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
   * History of the eligible owners of a pool's keys.
   *
   * @param pool Pool name.
   * @param dataCentre Home data centre.
   * @returns The history; undefined before the join.
   */
  eligibleOwners(pool: string, dataCentre: string): EligibleOwners | undefined {
    return this.#membership?.directory.eligibleOwners(pool, dataCentre);
  }

  /** Members that compete for the leases of readers; empty before the join. */
  leaseCandidateIds(): readonly string[] {
    return this.#membership?.leaseCandidateIds() ?? [];
  }

  /** Lists all members for `/status`. */
  listMembers(): MemberStatus[] {
    return this.#membership?.listMembers() ?? [];
  }

  /**
   * Tells the peers which upstream this instance has.
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
   * Tells the peers whether this instance takes new work.
   *
   * @param isLeaving True when it takes none.
   */
  setLeaving(isLeaving: boolean): void {
    if (isLeaving) {
      this.#membership?.drain();
      return;
    }
    this.#membership?.undrain();
  }

  /** Tells the peers that this daemon has ended. */
  async leave(): Promise<void> {
    await this.#membership?.leave();
  }
}
