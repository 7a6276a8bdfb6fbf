/** Configuration and directory of a daemon that has received neither. */
import type { ActiveConfig, ConfigSource } from "../decisions/config_source.ts";
import type { OwnerHistory, OwnerList } from "../decisions/key_owner.ts";
import type {
  Endpoint,
  PeerStanding,
  UpstreamDirectory,
} from "../decisions/upstream_directory.ts";

/** Source without a configuration. */
export class PendingConfig implements ConfigSource {
  /** @inheritdoc */
  current(): ActiveConfig | undefined {
    return undefined;
  }
}

/** Directory without upstreams. */
export class EmptyDirectory implements UpstreamDirectory {
  /** @inheritdoc */
  endpoints(_pool: string): readonly Endpoint[] {
    return [];
  }

  /** @inheritdoc */
  changedMs(_pool: string, _dataCentre: string): number {
    return 0;
  }

  /** @inheritdoc */
  standing(): PeerStanding {
    return { knownPeersCount: 0, lastAckMs: 0, acceptedSinceMs: 0 };
  }
}

/** History without owners; keyed requests are refused. */
export class EmptyOwners implements OwnerHistory {
  /** @inheritdoc */
  lists(
    _pool: string,
    _dataCentre: string,
    _fromEpochMs: number,
  ): readonly OwnerList[] {
    return [];
  }
}
