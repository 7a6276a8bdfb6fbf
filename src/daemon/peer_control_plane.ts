/** Control plane of a daemon with peers and a platform. */
import type { Stream } from "most";
import type { ConfigStore } from "../config/config_store.ts";
import type { EventLoop } from "../core/event_loop.ts";
import type { OwnerHistory } from "../decisions/keys/key_owner.ts";
import type { AnnouncementPart } from "../membership/announcement_part.ts";
import type { MembershipPart } from "../membership/membership_part.ts";
import type { GrpcPeerTransport } from "../peer/grpc_peer_transport.ts";
import type { KeyRing } from "../peer/key_ring.ts";
import type { HttpPlatformClient } from "../platform/http_platform_client.ts";
import type { LeaseHolder } from "../platform/lease_holder.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { Announcement } from "../schemas/settings_schema.ts";
import type {
  AnyControlPart,
  BoundAddresses,
  ControlPlane,
} from "./daemon_types.ts";
import type { MembershipHandle } from "./membership_handle.ts";
import type { ControlStatus } from "./daemon_operator_service.ts";
import type { KeyHolder } from "./reload_keys.ts";

/** Parts of {@link PeerControlPlane}. */
export type PeerControlPlaneParts = {
  store: ConfigStore;
  membership: MembershipHandle;
  owners: OwnerHistory;
  keys: KeyRing;
  transport: GrpcPeerTransport;
  platform: HttpPlatformClient;
  leases: readonly LeaseHolder[];
  /** Parts of the control loop besides the membership and the announcements. */
  controlParts: readonly AnyControlPart[];
  /** Constructs the membership for the bound addresses. */
  createMembership: (bound: BoundAddresses) => MembershipPart;
  /** Constructs the part that stores and reads announcements in the platform. */
  createAnnouncements: (membership: MembershipPart) => AnnouncementPart;
};

/** Connects the membership, configuration and platform to the daemon. */
export class PeerControlPlane implements ControlPlane {
  readonly config: ConfigStore;
  readonly directory: MembershipHandle;
  readonly owners: OwnerHistory;
  readonly configChanges: Stream<unknown>;
  readonly keyHolders: readonly KeyHolder[];
  readonly #parts: PeerControlPlaneParts;

  /**
   * @param parts Parts of the control plane; they are not started yet.
   */
  constructor(parts: PeerControlPlaneParts) {
    this.#parts = parts;
    this.config = parts.store;
    this.directory = parts.membership;
    this.owners = parts.owners;
    this.configChanges = parts.store.changes;
    this.keyHolders = [{ replaceKeys: (keys) => parts.keys.replace(keys) }];
  }

  /** @inheritdoc */
  get incarnationEpochMs(): number {
    return this.directory.identity.incarnationEpochMs;
  }

  /** @inheritdoc */
  listen(address: Address): Promise<Address> {
    return this.#parts.transport.listen(address);
  }

  /** @inheritdoc */
  join(loop: EventLoop, bound: BoundAddresses): void {
    const { createMembership, createAnnouncements, controlParts } = this.#parts;
    const membership = createMembership(bound);
    const announcements = createAnnouncements(membership);
    this.directory.connect(membership);
    for (const part of [membership, announcements, ...controlParts]) {
      loop.register(part as AnyControlPart);
    }
  }

  /** @inheritdoc */
  publish(announcement: Announcement | undefined): void {
    this.directory.publish(announcement);
  }

  /** @inheritdoc */
  setLeaving(isLeaving: boolean): void {
    this.directory.setLeaving(isLeaving);
  }

  /** @inheritdoc */
  status({ listsMembers }: { listsMembers: boolean }): ControlStatus {
    return {
      config: this.config.status(),
      members: listsMembers ? this.directory.listMembers() : [],
      leases: this.#parts.leases.map((lease) => lease.status()),
    };
  }

  /** @inheritdoc */
  async close(): Promise<void> {
    const { leases, transport, platform } = this.#parts;
    await this.directory.leave();
    await Promise.all(leases.map((lease) => lease.release()));
    await transport.close();
    await platform.close();
  }
}
