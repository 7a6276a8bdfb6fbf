/** Types of a wired daemon. */
import type { Stream } from "most";
import type { ControlPart, EventLoop } from "../core/event_loop.ts";
import type { NeighbourSource } from "../core/peer_transport.ts";
import type { ConfigSource } from "../decisions/config_source.ts";
import type { OwnerHistory } from "../decisions/key_owner.ts";
import type { UpstreamDirectory } from "../decisions/upstream_directory.ts";
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

/** Configuration and directory that replace the control plane in tests. */
export type FixedControl = {
  config: ConfigSource;
  directory: UpstreamDirectory;
  owners?: OwnerHistory;
};

/** Parts that are given from outside. */
export type DaemonOptions = Partial<FixedControl> & {
  log?: Logger;
  /** Signals of the process. */
  signals?: Stream<DaemonEvent>;
  /** Re-reads the peer keys of the settings file. */
  readKeys?: () => readonly PeerKey[];
  /** Adds the metrics of the Node.js process, which observe it. */
  processMetrics?: boolean;
};

/** Bound addresses of a daemon's listeners. */
export type BoundAddresses = Record<keyof Settings["listeners"], Address>;

/** A daemon whose parts are connected. */
export type Daemon = {
  readonly instanceId: string;
  readonly incarnationEpochMs: number;
  /** Resolves with the exit code when the daemon was told to end. */
  readonly ended: Promise<number>;
  /** Sets the upstream beside the daemon. */
  attachUpstream(announcement: Announcement): void;
  /** Binds all listeners and starts the control loop. */
  listen(): Promise<BoundAddresses>;
  /** Closes all listeners at once. */
  destroy(): Promise<void>;
};

/** Membership and configuration of a daemon. */
export interface ControlPlane extends FixedControl {
  readonly owners: OwnerHistory;
  /** Emits after another configuration came into force. */
  readonly configChanges: Stream<unknown>;
  /** Parts that sign or verify with the peer keys. */
  readonly keyHolders: readonly KeyHolder[];
  /** Start of this daemon, raised when peers know a later one. */
  readonly incarnationEpochMs: number;
  /** Binds the peer listener. */
  listen(address: Address): Promise<Address>;
  /** Constructs the membership for the bound addresses and registers all parts. */
  join(loop: EventLoop, bound: BoundAddresses): void;
  /** Tells the peers which upstream this instance has. */
  publish(announcement: Announcement | undefined): void;
  /** Tells the peers that this instance takes no new work, or takes it again. */
  setLeaving(isLeaving: boolean): void;
  /** State for `/status`. */
  status(options: { listsMembers: boolean }): ControlStatus;
  /** Leaves the peers and closes all connections. */
  close(): Promise<void>;
}

/** A part of the control loop with any kind of events. */
// deno-lint-ignore no-explicit-any -- each part has events of its own
export type AnyControlPart = ControlPart<any>;

/** Directory and neighbours of the membership. */
export type MemberDirectory = UpstreamDirectory & NeighbourSource;
