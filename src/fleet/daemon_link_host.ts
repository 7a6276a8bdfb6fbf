/** Connects the links to the state and the services of the daemon. */
import type { CallGraph } from "../decisions/call_graph.ts";
import type { LinkServerHost } from "../link/link_server.ts";
import type { LinkHost, PeerLink } from "../link/peer_link.ts";
import type {
  ForwardedRequest,
  RequestHandle,
  ResultReceiver,
} from "../link/upstream_channel.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type { LoadReport, UpstreamState } from "../schemas/link_schema.ts";
import type { ConfigFollower } from "./config_follower.ts";
import type { MemberDirectory } from "./member_directory.ts";
import type { StatePublisher } from "./state_publisher.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Minimum time between two queries for a configuration, to any peer. */
const CONFIG_QUERY_INTERVAL_MIN_MS = 300;

/** Parts of the daemon that {@link DaemonLinkHost} uses. */
export type DaemonLinkHostParts = {
  config: ConfigFollower;
  gate: UpstreamGate;
  graph: CallGraph;
  publisher: StatePublisher;
  /** A function, because the directory is constructed later, with this host. */
  directory: () => MemberDirectory;
};

/**
 * Provides dialled and accepted links with the daemon's state, runs the
 * requests of peers and applies what peers send.
 */
export class DaemonLinkHost implements LinkHost, LinkServerHost {
  readonly #parts: DaemonLinkHostParts;
  #configQueriedAtMs = -Infinity;

  /**
   * @param parts Parts of the daemon.
   */
  constructor(parts: DaemonLinkHostParts) {
    this.#parts = parts;
  }

  /** @inheritdoc */
  get ownRecord(): MemberRecord {
    return this.#parts.directory().ownRecord;
  }

  /** @inheritdoc */
  get ownState(): UpstreamState {
    return this.#parts.publisher.state;
  }

  /** @inheritdoc */
  get ownLoad(): LoadReport {
    return this.#parts.gate.load;
  }

  /** @inheritdoc */
  get configVersion(): number {
    return this.#parts.config.version;
  }

  /** @inheritdoc */
  get config(): unknown {
    return this.#parts.config.routes?.config;
  }

  /** @inheritdoc */
  serve(request: ForwardedRequest, receiver: ResultReceiver): RequestHandle {
    return this.#parts.gate.serve(request, receiver);
  }

  /** @inheritdoc */
  onHello(record: MemberRecord): void {
    this.#parts.directory().upsertMember(record);
  }

  /** @inheritdoc */
  onPeerConfigVersion(version: number, peerName: string): void {
    const link = this.#parts.directory().link(peerName);
    if (link !== undefined) {
      this.onConfigVersion(version, link);
    }
  }

  /** @inheritdoc */
  onConfigVersion(version: number, link: PeerLink): void {
    if (version <= this.configVersion || !link.isUp) {
      return;
    }
    const nowMs = performance.now();
    if (nowMs - this.#configQueriedAtMs >= CONFIG_QUERY_INTERVAL_MIN_MS) {
      this.#configQueriedAtMs = nowMs;
      link.queryConfig();
    }
  }

  /** @inheritdoc */
  onState(state: UpstreamState, link: PeerLink): void {
    this.#parts.graph.update(link.member.name, state.calls);
  }

  /** @inheritdoc */
  get members(): readonly MemberRecord[] {
    return this.#parts.directory().records;
  }

  /** @inheritdoc */
  onMembers(records: readonly MemberRecord[], link: PeerLink): void {
    this.#parts.directory().handlePeerRecords(records, link.member.name);
  }

  /** @inheritdoc */
  onConfig(config: unknown): void {
    this.#parts.config.applyFromPeer(config);
  }
}
