/** Directory of a daemon before and after it has joined its peers. */
import type { NeighbourSource, Peer } from "../core/peer_transport.ts";
import type {
  Endpoint,
  PeerStanding,
  UpstreamDirectory,
} from "../decisions/upstream_directory.ts";

const NO_ENDPOINTS: readonly Endpoint[] = [];
const NO_PEERS: readonly Peer[] = [];

/**
 * Passes calls on to the membership, which is constructed after the listeners
 * are bound because it announces their ports. Empty until then.
 */
export class DirectoryHandle implements UpstreamDirectory, NeighbourSource {
  #target: (UpstreamDirectory & NeighbourSource) | undefined;

  /**
   * Connects the directory of the membership.
   *
   * @param target Directory to pass calls on to.
   */
  connect(target: UpstreamDirectory & NeighbourSource): void {
    this.#target = target;
  }

  /** @inheritdoc */
  endpoints(pool: string): readonly Endpoint[] {
    return this.#target?.endpoints(pool) ?? NO_ENDPOINTS;
  }

  /** @inheritdoc */
  changedMs(pool: string, dataCentre: string): number {
    return this.#target?.changedMs(pool, dataCentre) ?? 0;
  }

  /** @inheritdoc */
  standing(): PeerStanding {
    return this.#target?.standing() ??
      { knownPeersCount: 0, lastAckMs: 0, acceptedSinceMs: 0 };
  }

  /** @inheritdoc */
  neighbours(): readonly Peer[] {
    return this.#target?.neighbours() ?? NO_PEERS;
  }

  /** @inheritdoc */
  remoteReaders(): readonly Peer[] {
    return this.#target?.remoteReaders() ?? NO_PEERS;
  }
}
