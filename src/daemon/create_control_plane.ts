/** Constructs the control plane of a daemon that shares state with its peers. */
import { ConfigAcceptor } from "../config/config_acceptor.ts";
import { ConfigDistributor } from "../config/config_distributor.ts";
import { ConfigReader } from "../config/config_reader.ts";
import { ConfigStore } from "../config/config_store.ts";
import type { Clock } from "../core/clock.ts";
import type { RandomSource } from "../core/random.ts";
import type { KeyClock } from "../decisions/keys/keyed_admission.ts";
import { AnnouncementPart } from "../membership/announcement_part.ts";
import { MemberOwners, ownerRulesOf } from "../membership/member_owners.ts";
import { MembershipPart } from "../membership/membership_part.ts";
import { PlacementHistory } from "../membership/placement_history.ts";
import { NO_UPSTREAM } from "../membership/upstream_lifecycle.ts";
import { GrpcPeerTransport } from "../peer/grpc_peer_transport.ts";
import { KeyRing } from "../peer/key_ring.ts";
import { HttpPlatformClient } from "../platform/http_platform_client.ts";
import {
  isAcceptorCandidate,
  isReaderCandidate,
} from "../platform/lease_candidacy.ts";
import { LeaseHolder } from "../platform/lease_holder.ts";
import type { Settings } from "../schemas/settings_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import { announcedOperatorAddress } from "./announced_operator_address.ts";
import type { AnyControlPart, ControlPlane } from "./daemon_types.ts";
import { MembershipHandle } from "./membership_handle.ts";
import { PeerControlPlane } from "./peer_control_plane.ts";

/**
 * Numbers of the reader leases; each data centre has one reader of the platform
 * per lease.
 */
const READER_NUMBERS = [0, 1];
/** Maximum `keyRetentionMs` that the table of pools allows, in ms. */
const KEY_RETENTION_MAX_MS = 86_400_000;

/** Parts of the daemon that the control plane uses. */
export type ControlPlaneParts = {
  clock: Clock;
  keyClock: KeyClock;
  random: RandomSource;
  log: Logger;
};

/**
 * Constructs the control plane of a daemon.
 *
 * @param settings Validated settings.
 * @param parts Clocks, random numbers and logger.
 * @returns Configuration, directory and membership, connected.
 */
export function createControlPlane(
  settings: Settings,
  parts: ControlPlaneParts,
): ControlPlane {
  const { clock, random, log } = parts;
  const nowMs = () => clock.monotonicMs();
  const { id: instanceId, dataCentre } = settings.instance;
  const initialIdentity = { instanceId, incarnationEpochMs: clock.wallMs() };
  const membership = new MembershipHandle({ ...initialIdentity, dataCentre });
  const keys = new KeyRing(settings.peers.keys);
  const platform = new HttpPlatformClient({
    ...settings.platform,
    clock,
    random,
  });
  const transport = new GrpcPeerTransport({
    identity: () => membership.identity,
    keys,
    clock,
  });
  const store = new ConfigStore(clock);
  const leaseParts = { holder: initialIdentity, platform, clock, random };
  const readerLeases: LeaseHolder[] = READER_NUMBERS.map((number) =>
    new LeaseHolder({
      ...leaseParts,
      leaseName: `${dataCentre}-reader-${number}`,
      isCandidate: () =>
        isReaderCandidate({
          instanceId,
          rankedIds: membership.leaseCandidateIds(),
          competesElsewhere: readerLeases.some((lease, otherNumber) =>
            otherNumber !== number && lease.isCompeting()
          ),
        }),
    })
  );
  const acceptorLease = new LeaseHolder({
    ...leaseParts,
    leaseName: "config-acceptor",
    isCandidate: () => isAcceptorCandidate(readerLeases),
  });
  const leases = [...readerLeases, acceptorLease];
  const placements = new PlacementHistory(KEY_RETENTION_MAX_MS);
  const configParts = { ...initialIdentity, store, platform, clock };
  const controlParts: AnyControlPart[] = [
    new ConfigDistributor({
      ...configParts,
      transport,
      neighbours: membership,
      contacts: settings.peers.contacts,
      random,
    }),
    new ConfigAcceptor({ ...configParts, lease: acceptorLease }),
    ...readerLeases.map((lease) => new ConfigReader({ ...configParts, lease })),
    ...leases,
    {
      name: "placements of pools",
      inputs: store.changes,
      handle: () =>
        placements.record(store.current()?.tables.pools.pools ?? {}, nowMs()),
    },
  ];
  const currentPool = (pool: string) =>
    store.current()?.tables.pools.pools[pool];
  return new PeerControlPlane({
    store,
    membership,
    owners: new MemberOwners({
      eligibleOwners: (pool, home) => membership.eligibleOwners(pool, home),
      placements,
      nowMs,
      nowEpochMs: () => parts.keyClock.nowEpochMs(),
    }),
    keys,
    transport,
    platform,
    leases,
    controlParts,
    createAnnouncements: (joined) =>
      new AnnouncementPart({
        membership: joined,
        platform,
        clock,
        random,
        holdsLease: () => readerLeases[0]?.isHeld() ?? false,
      }),
    createMembership: ({ peer, hop, operator }) =>
      new MembershipPart({
        ...initialIdentity,
        dataCentre,
        place: {
          peerHost: peer.host,
          peerPort: peer.port,
          hopHost: hop.host,
          hopPort: hop.port,
          ...announcedOperatorAddress(operator, { peer }),
          ...NO_UPSTREAM,
        },
        contacts: settings.peers.contacts,
        transport,
        clock,
        coldStartMs: (pool) => currentPool(pool)?.coldStartMs ?? 0,
        ownerRules: (pool) => ownerRulesOf(currentPool(pool)),
        onError: (error) =>
          log.error("Peer message failed", errorFields(error)),
        holdsReaderLease: () => readerLeases.some((lease) => lease.isHeld()),
      }),
  });
}
