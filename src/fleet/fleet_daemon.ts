/** Daemon on a deployment platform: constructs its parts and connects them. */
import type { Stream } from "most";
import { EventLoop } from "../core/event_loop.ts";
import type { RandomSource } from "../core/random.ts";
import { CallGraph } from "../decisions/routing/call_graph.ts";
import { CallObserver } from "../decisions/routing/call_observer.ts";
import { LinkServer } from "../link/link_server.ts";
import type { LinkHost } from "../link/link_host.ts";
import type { FleetSettings, MemberRecord } from "../schemas/fleet_schema.ts";
import { FleetMetrics } from "../telemetry/fleet_metrics.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import {
  type CallerLimits,
  createCallerLimits,
} from "../reception/caller_limits.ts";
import { ConfigFollower } from "./config_follower.ts";
import { ControlTick } from "./control_tick.ts";
import { createInputParts, type InputParts } from "./create_input_parts.ts";
import { createOutboundService } from "./create_outbound_service.ts";
import {
  createUpstreamParts,
  type UpstreamParts,
} from "./create_upstream_parts.ts";
import { DaemonLinkHost } from "./daemon_link_host.ts";
import { DecisionLog } from "./decision_log.ts";
import { EntryAdmission } from "./entry_admission.ts";
import {
  type FleetDaemonEvent,
  FleetDaemonLifecycle,
} from "./fleet_daemon_lifecycle.ts";
import type { FleetPlatform } from "./fleet_platform.ts";
import {
  createFleetListeners,
  type FleetListeners,
} from "./fleet_listeners.ts";
import { readGauges } from "./read_gauges.ts";
import { LocalUpstreamChannel } from "./local_upstream_channel.ts";
import { MemberDirectory } from "./member_directory.ts";
import { PoolFiguresSource } from "./pool_figures_source.ts";
import { OutboundListener } from "./outbound_listener.ts";
import type { OutboundService } from "./outbound_service.ts";
import { ChannelTable } from "./channel_table.ts";
import { StatePublisher } from "./state_publisher.ts";
import { StopSequence } from "./stop_sequence.ts";
import { createTenantAccess, type TenantAccess } from "./tenant_access.ts";
import { UpstreamAnnouncements } from "./upstream_announcements.ts";
import type { UpstreamSignals } from "./upstream_signals.ts";
import { WatchElection } from "./watch_election.ts";

/** Options of {@link FleetDaemon}. */
export type FleetDaemonOptions = {
  platform: FleetPlatform;
  log: Logger;
  random: RandomSource;
  signals: Stream<FleetDaemonEvent>;
};

/** A daemon that runs next to one upstream instance, its local upstream. */
export class FleetDaemon {
  readonly #settings: FleetSettings;
  readonly #options: FleetDaemonOptions;
  readonly #loop: EventLoop;
  readonly #lifecycle: FleetDaemonLifecycle;
  readonly #stopSequence: StopSequence;
  readonly #config: ConfigFollower;
  readonly #upstreamParts: UpstreamParts;
  readonly #poolFigures: PoolFiguresSource;
  readonly #publisher: StatePublisher;
  readonly #directory: MemberDirectory;
  readonly #watchElection: WatchElection;
  readonly #channels: ChannelTable;
  readonly #admission: EntryAdmission;
  readonly #callGraph = new CallGraph();
  readonly #callObserver = new CallObserver();
  readonly #access: TenantAccess;
  readonly #linkHost: DaemonLinkHost;
  readonly #linkServer: LinkServer;
  readonly #outboundService: OutboundService;
  readonly #outboundListener: OutboundListener;
  readonly #announcements: UpstreamAnnouncements;
  readonly #listeners: FleetListeners;
  readonly #metrics: FleetMetrics;
  readonly #callerLimits: CallerLimits;
  readonly #input: InputParts;

  /**
   * @param settings Validated settings.
   * @param options Platform, logger, random numbers and signals.
   */
  constructor(settings: FleetSettings, options: FleetDaemonOptions) {
    const { platform, log, random } = options;
    const decisions = new DecisionLog(log);
    this.#settings = settings;
    this.#options = options;
    this.#callerLimits = createCallerLimits(settings, log);
    this.#input = createInputParts(log);
    this.#loop = new EventLoop((part, error) =>
      log.error("Control part failed", { part, ...errorFields(error) })
    );
    this.#lifecycle = this.#createLifecycle();
    this.#stopSequence = this.#createStopSequence();
    this.#config = new ConfigFollower({
      objects: platform.configObjects,
      objectName: platform.configName,
      decode: platform.decodeConfig,
      log,
      onApplied: () => this.#onConfig(),
    });
    this.#upstreamParts = createUpstreamParts({
      settings,
      platform,
      observer: this.#callObserver,
      startQueue: this.#input.startQueue,
      decisions,
      log,
      connectionsMaxCount: this.#callerLimits.upstreamConnectionsMaxCount,
      isIdempotent: (routeName) =>
        this.#config.routes?.route(routeName)?.idempotent ?? false,
      onSignals: (signals) => this.#onSignals(signals),
      onServingChanged: () => this.#publisher.publish(),
    });
    this.#poolFigures = new PoolFiguresSource(this.#upstreamParts.gate);
    this.#watchElection = new WatchElection({
      directory: () => this.#directory,
      store: platform.store,
      log,
    });
    this.#publisher = this.#createPublisher();
    this.#channels = new ChannelTable({
      ownDataCentre: settings.dataCentre,
      random,
    });
    this.#access = createTenantAccess({
      settings,
      platform,
      config: this.#config,
      peers: () => this.#directory.links,
      members: () => this.#directory,
      isStopping: () => this.#lifecycle.stoppingSinceMs !== undefined,
      random,
      isWatching: () => this.isWatching,
      onRefused: (kind) => this.#metrics.recordCredentialRefusal(kind),
      log,
    });
    this.#linkHost = new DaemonLinkHost({
      config: this.#config,
      currency: this.#access.currency,
      usageCaps: this.#access.usage,
      poolFigures: this.#poolFigures,
      gate: this.#upstreamParts.gate,
      graph: this.#callGraph,
      publisher: this.#publisher,
      directory: () => this.#directory,
      memory: this.#callerLimits.memory,
      ...this.#input,
      log,
    });
    this.#directory = this.#createDirectory(this.#linkHost);
    this.#linkServer = new LinkServer(this.#linkHost, log);
    this.#admission = new EntryAdmission({
      channels: this.#channels,
      graph: this.#callGraph,
      random,
      log,
      retryRatio: settings.repeatRatio,
      coordinatesPools: settings.coordinatesPools,
    });
    this.#outboundService = createOutboundService({
      settings,
      platform,
      config: this.#config,
      gate: this.#upstreamParts.gate,
      graph: this.#callGraph,
      observer: this.#callObserver,
      admission: this.#admission,
      access: this.#access,
      channels: this.#channels,
      directory: this.#directory,
      metrics: () => this.#metrics,
      heldBytes: () => this.#outboundListener.heldBytes,
      decisions,
      random,
    });
    this.#outboundListener = new OutboundListener(
      this.#outboundService,
      this.#callerLimits,
      this.#input,
    );
    this.#announcements = new UpstreamAnnouncements({
      decode: platform.decodeAnnouncement,
      settings,
      upstream: this.#upstreamParts.upstream,
      client: this.#upstreamParts.client,
      directory: this.#directory,
      log,
    });
    this.#metrics = new FleetMetrics(
      () =>
        readGauges({
          config: this.#config,
          upstream: this.#upstreamParts.upstream,
          directory: this.#directory,
          gate: this.#upstreamParts.gate,
          watchElection: this.#watchElection,
          platform,
          graph: this.#callGraph,
          usage: this.#access.usage,
          currency: this.#access.currency,
          callerMemory: this.#callerLimits.memory,
          ...this.#input,
          callerConnectionsCount: () => this.#outboundListener.connectionsCount,
        }),
      (reason) => this.#callerLimits.refusals.countOf(reason),
      () => this.#admission.poolGauges,
    );
    this.#listeners = createFleetListeners({
      link: this.#linkServer,
      outbound: this.#outboundListener,
      lifecycle: this.#lifecycle,
      announcements: this.#announcements,
      metrics: this.#metrics,
    });
    this.#registerParts();
  }

  /** Resolves when the process should end. */
  get ended(): Promise<void> {
    return this.#lifecycle.ended;
  }

  /** Whether the daemon has a configuration and is not shutting down. */
  get isReady(): boolean {
    return this.#lifecycle.isReady;
  }

  /** Version of the configuration in force; 0 before the first. */
  get configVersion(): number {
    return this.#config.version;
  }

  /** Whether the daemon watches the store closely and reaches it. */
  get isWatching(): boolean {
    return this.#watchElection.isWatching;
  }

  /** Number of connected peers whose local upstream takes requests. */
  get servingPeersCount(): number {
    return [...this.#directory.links]
      .filter(({ isUp, state }) => isUp && state?.isServing === true).length;
  }

  /**
   * Starts the event loop and binds all listeners.
   *
   * @throws When an address cannot be bound.
   */
  async start(): Promise<void> {
    const { listeners, instanceName } = this.#settings;
    this.#loop.start();
    await this.#listeners.listen(listeners);
    this.#options.log.info("Started", { instanceName });
  }

  /** Stops the event loop and closes all listeners, links and connections. */
  async close(): Promise<void> {
    await this.#loop.stop();
    this.#listeners.close();
    this.#access.usage.close();
    this.#directory.close();
    await this.#upstreamParts.client.close();
  }

  get #openCount(): number {
    return this.#outboundListener.openCount +
      this.#upstreamParts.gate.openCount + this.#input.startQueue.waitingCount;
  }

  #createLifecycle(): FleetDaemonLifecycle {
    return new FleetDaemonLifecycle({
      log: this.#options.log,
      signals: this.#options.signals,
      // The published state makes peers prefer other daemons. Requests are
      // still accepted for some time, in which callers move to other instances.
      onStop: () => {
        this.#outboundListener.stop();
        this.#publisher.publish();
      },
      openCount: () => this.#openCount,
    });
  }

  #createStopSequence(): StopSequence {
    return new StopSequence({
      lifecycle: this.#lifecycle,
      stopGraceMs: this.#settings.stopGraceMs,
      // An answer to a peer is open until it is written.
      openCount: () => this.#openCount + this.#linkServer.unsentCount,
      closeIdle: () => this.#outboundListener.closeIdle(),
      refuseNew: (endsAtMs) => {
        this.#upstreamParts.gate.stop();
        this.#outboundService.stop(endsAtMs);
        this.#publisher.publish();
      },
    });
  }

  #createPublisher(): StatePublisher {
    return new StatePublisher({
      upstream: this.#upstreamParts.upstream,
      gate: this.#upstreamParts.gate,
      observer: this.#callObserver,
      peers: () => this.#linkServer,
      configVersion: () => this.#config.version,
      isStopping: () => this.#lifecycle.stoppingSinceMs !== undefined,
      isWatching: () => this.isWatching,
      onCalls: (calls) => {
        this.#callGraph.update(this.#settings.instanceName, calls);
        this.#options.log.info("Observed calls changed", {
          calls: JSON.stringify(calls),
        });
      },
    });
  }

  #createDirectory(host: LinkHost): MemberDirectory {
    const { platform, log, random } = this.#options;
    const { instanceName: name, dataCentre, pool, listeners } = this.#settings;
    const { link } = listeners;
    const ownRecord: MemberRecord = { name, dataCentre, pool, link };
    this.#channels.add(
      new LocalUpstreamChannel({
        member: ownRecord,
        gate: this.#upstreamParts.gate,
        readState: () => this.#publisher.state,
        poolFigures: this.#poolFigures,
      }),
    );
    return new MemberDirectory({
      store: platform.store,
      ownRecord,
      channels: this.#channels,
      link: { host, log, random },
      log,
      selectFurther: (records) => this.#access.usage.selectLinked(records),
      onOwnChange: (record) => this.#linkServer.broadcastOwnRecord(record),
      onOwnRecord: ({ leftUpstream }) => {
        if (leftUpstream !== undefined) {
          this.#upstreamParts.upstream.restoreDeparture(leftUpstream);
        }
      },
    });
  }

  #registerParts(): void {
    this.#loop.register(this.#lifecycle);
    this.#loop.register(this.#config);
    this.#loop.register(this.#access.currency);
    this.#loop.register(this.#directory);
    this.#loop.register(
      new ControlTick({
        ...this.#input,
        linkHost: this.#linkHost,
        directory: this.#directory,
        linkServer: this.#linkServer,
        watchElection: this.#watchElection,
        access: this.#access,
        outboundListener: this.#outboundListener,
        gate: this.#upstreamParts.gate,
        config: this.#config,
        admission: this.#admission,
        publisher: this.#publisher,
        metrics: this.#metrics,
        stopSequence: this.#stopSequence,
      }),
    );
  }

  #onSignals(signals: UpstreamSignals): void {
    this.#upstreamParts.gate.applySignals(signals);
    if (signals.isLeaving) {
      this.#announcements.markLeaving(signals.upstreamId);
    }
  }

  #onConfig(): void {
    const config = this.#config.routes?.config;
    if (config === undefined) {
      return;
    }
    this.#linkServer.broadcastConfigVersion(config.version);
    this.#access.usage.applyTenants(config.tenants ?? []);
    this.#outboundListener.applyLimits(config.limits);
    this.#lifecycle.notify("configured");
    const { pool } = this.#settings;
    const own = config.pools.find(({ name }) => name === pool);
    if (
      own !== undefined && this.#upstreamParts.upstream.report === undefined
    ) {
      this.#announcements.checkHealth(pool, own.healthPath).catch((error) =>
        this.#options.log.warn("Health check failed", errorFields(error))
      );
    }
  }
}

/**
 * Creates a daemon.
 *
 * @param settings Validated settings.
 * @param options Platform, logger, random numbers and signals.
 * @returns A daemon that has not been started.
 */
export function createFleetDaemon(
  settings: FleetSettings,
  options: FleetDaemonOptions,
): FleetDaemon {
  return new FleetDaemon(settings, options);
}
