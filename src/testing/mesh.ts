/** Daemons and upstream stand-ins of several services in one process. */
import type { TestContext } from "node:test";
import type { BoundAddresses, Daemon } from "../daemon/daemon_types.ts";
import type { DaemonEvent } from "../daemon/daemon_lifecycle.ts";
import { createDaemon } from "../daemon/create_daemon.ts";
import { EventSource } from "../core/event_source.ts";
import type { Endpoint } from "../decisions/selection/upstream_directory.ts";
import { type Settings, settingsSchema } from "../schemas/settings_schema.ts";
import { UpstreamServer } from "../../stand_ins/upstream_server.ts";
import {
  type RequestRecord,
  type UpstreamBehaviour,
  upstreamSettingsSchema,
} from "../../stand_ins/upstream_settings.ts";
import { StubConfig, StubDirectory, StubOwners } from "./data_path_fixtures.ts";
import { TcpRelay } from "./tcp_relay.ts";
import { ANY_PORT_LISTENERS } from "../../stand_ins/ready_lines.ts";

const LOOPBACK = "127.0.0.1";
/** Data centre of instances whose options set none. */
export const DEFAULT_DATA_CENTRE = "dc-a";

/** One instance to start. */
export type InstanceOptions = {
  pool: string;
  dataCentre?: string;
  behaviour?: Partial<UpstreamBehaviour>;
  slotsCount?: number;
};

/** One instance of the mesh: an upstream with the daemon beside it. */
export type MeshInstance = {
  readonly endpoint: Endpoint;
  readonly daemon: Daemon;
  /** Events of the daemon's life cycle, in place of process signals. */
  readonly signals: EventSource<DaemonEvent>;
  readonly upstream: UpstreamServer;
  /** URL of the listener for callers. */
  readonly callersUrl: string;
  /** URL of the listener for calls that the instance makes. */
  readonly outboundUrl: string;
  readonly bound: Pick<BoundAddresses, "callers" | "hop" | "outbound">;
  /** Relay between the peers and the hop listener. */
  readonly hopRelay: TcpRelay;
  /** Relay between the daemon and its upstream. */
  readonly upstreamRelay: TcpRelay;
};

/** Tables with the fields that a test sets; the schemas fill in the rest. */
export type MeshTables = {
  routes: Record<string, Record<string, unknown>>;
  pools: Record<string, Record<string, unknown>>;
  tenants?: Record<string, unknown>;
  rules?: Record<string, unknown>;
  /** Overload policy of the daemons. */
  policy?: Settings["policy"];
};

const POOL_DEFAULTS = {
  dataCentres: [DEFAULT_DATA_CENTRE],
  slotsCount: 50,
  connectionsMaxCount: 200,
  endpointsCount: 1,
};

/**
 * Starts instances that share one directory and one configuration.
 *
 * @example
 * const mesh = new Mesh(t, { routes, pools });
 * const { callersUrl } = await mesh.start({ pool: "plates" });
 */
export class Mesh {
  readonly directory = new StubDirectory();
  readonly owners = new StubOwners();
  readonly instances: MeshInstance[] = [];
  readonly #config: StubConfig;
  readonly #policy: Settings["policy"];

  /**
   * @param t Test that owns the instances.
   * @param tables Tables with the fields that matter to the test.
   */
  constructor(t: TestContext, tables: MeshTables) {
    const { pools, policy = "adaptive", ...routes } = tables;
    this.#policy = policy;
    this.#config = new StubConfig({
      routes,
      pools: {
        pools: Object.fromEntries(
          Object.entries(pools).map((
            [name, pool],
          ) => [name, { ...POOL_DEFAULTS, ...pool }]),
        ),
      },
    });
    t.after(() => this.#stop());
  }

  /**
   * Starts an upstream and the daemon beside it.
   *
   * @param options Pool, data centre and behaviour.
   * @returns The instance, listed in the directory.
   */
  async start(options: InstanceOptions): Promise<MeshInstance> {
    const { pool, dataCentre = DEFAULT_DATA_CENTRE, slotsCount = 50 } = options;
    const id = `${pool}-${this.instances.length}`;
    const upstream = new UpstreamServer(upstreamSettingsSchema.parse({
      pool,
      behaviour: { slotsCount, ...options.behaviour },
    }));
    const { port } = await upstream.start();
    const upstreamRelay = new TcpRelay(port);
    const signals = new EventSource<DaemonEvent>();
    const daemon = this.#createDaemon({ id, dataCentre }, signals);
    const bound = await daemon.listen();
    const hopRelay = new TcpRelay(bound.hop.port);
    daemon.attachUpstream({
      pool,
      host: LOOPBACK,
      port: await upstreamRelay.listen(),
      slotsCount,
      connectionsMaxCount: 200,
    });
    const endpoint: Endpoint = {
      instanceId: id,
      incarnationEpochMs: daemon.incarnationEpochMs,
      dataCentre,
      pool,
      hopHost: LOOPBACK,
      hopPort: await hopRelay.listen(),
      slotsCount,
      connectionsMaxCount: 200,
      state: "alive",
      joinedMs: 0,
    };
    this.directory.add(endpoint);
    const instance = {
      endpoint,
      daemon,
      signals,
      upstream,
      callersUrl: `http://${LOOPBACK}:${bound.callers.port}`,
      outboundUrl: `http://${LOOPBACK}:${bound.outbound.port}`,
      bound,
      hopRelay,
      upstreamRelay,
    };
    this.instances.push(instance);
    return instance;
  }

  /**
   * Makes the instances of a pool that were started so far the owners of its
   * keys in their data centres, whatever the age of the keys.
   *
   * @param pool Pool of the owners.
   * @param dataCentres Data centres that the pool lists.
   */
  setOwners(
    pool: string,
    dataCentres: readonly string[] = [DEFAULT_DATA_CENTRE],
  ): void {
    for (const dataCentre of dataCentres) {
      const instanceIds = this.instances
        .map(({ endpoint }) => endpoint)
        .filter((one) => one.pool === pool && one.dataCentre === dataCentre)
        .map((one) => one.instanceId);
      const list = { sinceEpochMs: 0, dataCentres, instanceIds };
      this.owners.add(pool, dataCentre, list);
    }
  }

  /**
   * Collects the requests that all upstreams recorded.
   *
   * @returns Requests by pool.
   */
  requestsByPool(): Record<string, RequestRecord[]> {
    const byPool: Record<string, RequestRecord[]> = {};
    for (const { endpoint, upstream } of this.instances) {
      (byPool[endpoint.pool] ??= []).push(...upstream.requests);
    }
    return byPool;
  }

  #createDaemon(
    instance: { id: string; dataCentre: string },
    signals: EventSource<DaemonEvent>,
  ): Daemon {
    const settings = settingsSchema.parse({
      instance,
      listeners: ANY_PORT_LISTENERS,
      policy: this.#policy,
      platform: { url: "http://127.0.0.1:1" },
      peers: { keys: [{ id: "k1", secret: "0123456789abcdef" }] },
    });
    const { directory, owners } = this;
    return createDaemon(settings, {
      config: this.#config,
      directory,
      owners,
      signals: signals.stream,
    });
  }

  async #stop(): Promise<void> {
    for (
      const { daemon, upstream, hopRelay, upstreamRelay } of this.instances
    ) {
      upstream.stop();
      hopRelay.close();
      upstreamRelay.close();
      await daemon.destroy();
    }
  }
}
