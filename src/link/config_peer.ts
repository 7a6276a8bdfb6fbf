/** A connected daemon that can be asked for its configuration. */

/** Peer on either side of a link. */
export interface ConfigPeer {
  /** Name for logs. */
  readonly peerName: string;
  /** Whether the peer is connected. */
  readonly isUp: boolean;
  /** Asks the peer for its configuration. */
  queryConfig(): void;
}
