/** Control plane with a given configuration and directory. */
import { never, type Stream } from "most";
import type { EventLoop } from "../core/event_loop.ts";
import type { ConfigSource } from "../decisions/config_source.ts";
import type { OwnerHistory, OwnerList } from "../decisions/keys/key_owner.ts";
import type { UpstreamDirectory } from "../decisions/selection/upstream_directory.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { Announcement } from "../schemas/settings_schema.ts";
import type {
  BoundAddresses,
  ControlPlane,
  ControlSources,
} from "./daemon_types.ts";
import type { ControlStatus } from "./daemon_operator_service.ts";

/** Owner history without entries; all keyed requests are refused. */
export class EmptyOwnerHistory implements OwnerHistory {
  /** @inheritdoc */
  lists(
    _pool: string,
    _dataCentre: string,
    _fromEpochMs: number,
  ): readonly OwnerList[] {
    return [];
  }
}

/** Provides the data path with a fixed state, without peers or platform. */
export class FixedControlPlane implements ControlPlane {
  readonly config: ConfigSource;
  readonly directory: UpstreamDirectory;
  readonly owners: OwnerHistory;
  readonly configChanges: Stream<unknown> = never();
  readonly keyHolders = [];
  readonly incarnationEpochMs: number;

  /**
   * @param parts Configuration, directory, owners and incarnation.
   */
  constructor(parts: ControlSources & { incarnationEpochMs: number }) {
    this.config = parts.config;
    this.directory = parts.directory;
    this.owners = parts.owners ?? new EmptyOwnerHistory();
    this.incarnationEpochMs = parts.incarnationEpochMs;
  }

  /** @inheritdoc */
  listen(address: Address): Promise<Address> {
    // There is no peer listener, so nothing is bound.
    return Promise.resolve(address);
  }

  /** @inheritdoc */
  join(_loop: EventLoop, _bound: BoundAddresses): void {
    // There are no peers.
  }

  /** @inheritdoc */
  publish(_announcement: Announcement | undefined): void {
    // There are no peers.
  }

  /** @inheritdoc */
  setLeaving(_isLeaving: boolean): void {
    // There are no peers.
  }

  /** @inheritdoc */
  status(): ControlStatus {
    const config = this.config.current();
    return {
      config: {
        generation: config?.generation ?? 0,
        digest: config?.digest ?? "",
        confirmedAgeMs: 0,
        applied: [],
      },
      members: [],
      leases: [],
    };
  }

  /** @inheritdoc */
  close(): Promise<void> {
    return Promise.resolve();
  }
}
