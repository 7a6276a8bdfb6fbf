/** Types of a daemon and its control plane. */
import type { Stream } from "most";
import type { ControlPart, EventLoop } from "../core/event_loop.ts";
import type { NeighbourSource } from "../core/peer_transport.ts";
import type { ConfigSource } from "../decisions/config_source.ts";
import type { OwnerHistory } from "../decisions/keys/key_owner.ts";
import type { UpstreamDirectory } from "../decisions/selection/upstream_directory.ts";
import type { Address } from "../schemas/common_schema.ts";
import type {
  Announcement,
  PeerKey,
  Settings,
} from "../schemas/settings_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { DaemonEvent } from "./daemon_lifecycle.ts";
import type { ControlStatus } from "./daemon_operator_service.ts";
import type { KeyHolder } from "./reload_keys.ts";

/**
 * Sources that the data path reads. Tests and benchmarks give `createDaemon`
 * fixed ones instead of a control plane with peers.
 */
export type ControlSources = {
  config: ConfigSource;
  directory: UpstreamDirectory;
  owners?: OwnerHistory;
};

/**
 * Options of `createDaemon`; each has a default. `config` and `directory`
 * replace the control plane only if both are given.
 */
export type DaemonOptions = Partial<ControlSources> & {
  log?: Logger;
  /** Chart events that the signals of the process cause. */
  signals?: Stream<DaemonEvent>;
  /** Reads the peer keys of the settings file; called on each reload. */
  readKeys?: () => readonly PeerKey[];
  /**
   * Whether to add the metrics of the Node.js process, which register
   * process-wide observers. Off by default.
   */
  processMetrics?: boolean;
};

/** Bound addresses of a daemon's listeners. */
export type BoundAddresses = Record<keyof Settings["listeners"], Address>;

/** A daemon with all its parts connected. */
export type Daemon = {
  readonly instanceId: string;
  readonly incarnationEpochMs: number;
  /** Resolves with the exit code when the process should end. */
  readonly ended: Promise<number>;
  /** Sets the local upstream. */
  attachUpstream(announcement: Announcement): void;
  /** Binds all listeners and starts the control loop. */
  listen(): Promise<BoundAddresses>;
  /** Closes all listeners and connections without a drain. */
  destroy(): Promise<void>;
};

/** Membership and configuration of a daemon. */
export interface ControlPlane extends ControlSources {
  readonly owners: OwnerHistory;
  /** Emits after a new configuration has come into force. */
  readonly configChanges: Stream<unknown>;
  /** Parts that sign or verify with the peer keys. */
  readonly keyHolders: readonly KeyHolder[];
  /**
   * Start time of this daemon, in ms since the epoch; raised when the peers
   * know a later one.
   */
  readonly incarnationEpochMs: number;
  /** Binds the peer listener. */
  listen(address: Address): Promise<Address>;
  /**
   * Constructs the membership for the bound addresses and registers the parts
   * of the control plane with the event loop.
   */
  join(loop: EventLoop, bound: BoundAddresses): void;
  /** Announces the local upstream to the peers; undefined withdraws it. */
  publish(announcement: Announcement | undefined): void;
  /** Informs the peers whether this instance refuses new work. */
  setLeaving(isLeaving: boolean): void;
  /** Returns the configuration, members and leases for `/status`. */
  status(options: { listsMembers: boolean }): ControlStatus;
  /** Leaves the membership and closes all connections. */
  close(): Promise<void>;
}

/** A part of the control loop with any event type. */
// deno-lint-ignore no-explicit-any -- each part has its own event type
export type AnyControlPart = ControlPart<any>;

/** Directory and neighbours of the membership. */
export type MemberDirectory = UpstreamDirectory & NeighbourSource;
