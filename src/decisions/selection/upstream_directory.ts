/** Directory of the upstreams that the data path chooses from. */

/** One upstream with the daemon beside it. */
export type Endpoint = {
  readonly instanceId: string;
  /** Start of the daemon, in ms since the epoch; grows with each restart. */
  readonly incarnationEpochMs: number;
  readonly dataCentre: string;
  readonly pool: string;
  /** Address of the hop listener of the daemon beside the upstream. */
  readonly hopHost: string;
  readonly hopPort: number;
  readonly slotsCount: number;
  readonly connectionsMaxCount: number;
  readonly state: "alive" | "suspect" | "draining";
  /** Monotonic time at which this daemon recorded the join, in ms. */
  readonly joinedMs: number;
};

/** Connectivity of this daemon with its peers, for keyed requests. */
export type PeerConnectivity = {
  /** Other members of the data centre that are known and not confirmed gone. */
  readonly knownPeersCount: number;
  /**
   * Monotonic time at which the last answered probe of this daemon was sent, in
   * ms. The time of the answer would be too late for an answer that had waited
   * in the socket during a freeze.
   */
  readonly lastAckMs: number;
  /**
   * Monotonic time since which the peers accept this daemon, in ms. Infinite
   * from the time at which a peer considers it suspect or ended, until a peer
   * that considers it alive or leaving answers a probe. Set again when such
   * an answer arrives more than 3 s after `lastAckMs`.
   */
  readonly acceptedSinceMs: number;
};

/** Source of the endpoints of each pool. */
export interface UpstreamDirectory {
  /**
   * Lists the endpoints of a pool, ordered by instance id. The same array is
   * returned until the pool changes.
   */
  endpoints(pool: string): readonly Endpoint[];
  /**
   * Monotonic time of the last change of the members of a pool in a data centre,
   * in ms.
   */
  changedMs(pool: string, dataCentre: string): number;
  /** Returns the connectivity of this daemon with its peers. */
  peerConnectivity(): PeerConnectivity;
}
