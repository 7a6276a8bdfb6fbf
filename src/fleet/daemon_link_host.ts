/** Adapter between the links and the other parts of the daemon. */
import type { CallGraph } from "../decisions/call_graph.ts";
import type { LinkServerHost } from "../link/link_server.ts";
import type { LinkHost, PeerLink } from "../link/peer_link.ts";
import type {
  ForwardedRequest,
  ResultReceiver,
  SentRequest,
} from "../link/upstream_path.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type { LoadReport, UpstreamState } from "../schemas/link_schema.ts";
import type { ConfigFollower } from "./config_follower.ts";
import type { MemberDirectory } from "./member_directory.ts";
import type { StatePublisher } from "./state_publisher.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Minimum time between two configuration queries. */
const CONFIG_QUERY_PAUSE_MS = 300;

/** Parts of {@link DaemonLinkHost}. */
export type DaemonLinkHostParts = {
  config: ConfigFollower;
  gate: UpstreamGate;
  graph: CallGraph;
  publisher: StatePublisher;
  /** Read when it is used, because the directory is created with this host. */
  directory: () => MemberDirectory;
};

/** Serves dialled and accepted links with the daemon's state and requests. */
export class DaemonLinkHost implements LinkHost, LinkServerHost {
  readonly #parts: DaemonLinkHostParts;
  #configQueriedMs = -Infinity;

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
  serve(request: ForwardedRequest, receiver: ResultReceiver): SentRequest {
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
    if (nowMs - this.#configQueriedMs >= CONFIG_QUERY_PAUSE_MS) {
      this.#configQueriedMs = nowMs;
      link.queryConfig();
    }
  }

  /** @inheritdoc */
  onState(state: UpstreamState, link: PeerLink): void {
    this.#parts.graph.update(link.member.name, state.calls);
  }

  /** @inheritdoc */
  onConfig(config: unknown): void {
    this.#parts.config.receive(config);
  }
}
