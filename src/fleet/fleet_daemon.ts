/** Daemon on a deployment platform: constructs its parts and connects them. */
import type { Stream } from "most";
import { SystemClock } from "../core/clock.ts";
import { EventLoop } from "../core/event_loop.ts";
import type { RandomSource } from "../core/random.ts";
import { timerStream } from "../core/timer_stream.ts";
import { CallGraph, CallObserver } from "../decisions/call_graph.ts";
import { LinkServer } from "../link/link_server.ts";
import type { LinkHost } from "../link/peer_link.ts";
import type { FleetSettings, MemberRecord } from "../schemas/fleet_schema.ts";
import { FleetMetrics } from "../telemetry/fleet_metrics.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import { type CallerLimits, createCallerLimits } from "./caller_limits.ts";
import { ConfigFollower } from "./config_follower.ts";
import { createOutboundService } from "./create_outbound_service.ts";
import { DaemonLinkHost } from "./daemon_link_host.ts";
import { DecisionLog } from "./decision_log.ts";
import { EntryAdmission } from "./entry_admission.ts";
import {
  type FleetDaemonEvent,
  FleetDaemonLifecycle,
} from "./fleet_daemon_lifecycle.ts";
import type { FleetPlatform } from "./fleet_platform.ts";
import { FleetListeners } from "./fleet_listeners.ts";
import { readGauges } from "./read_gauges.ts";
import { LocalUpstreamChannel } from "./local_upstream_channel.ts";
import { LocalUpstream } from "./local_upstream.ts";
import { MemberDirectory } from "./member_directory.ts";
import { OutboundListener } from "./outbound_listener.ts";
import type { OutboundService } from "./outbound_service.ts";
import { ChannelTable } from "./channel_table.ts";
import { ControlListener } from "./control_listener.ts";
import { StatePublisher } from "./state_publisher.ts";
import { StopSequence } from "./stop_sequence.ts";
import { createTenantAccess, type TenantAccess } from "./tenant_access.ts";
import { UpstreamAnnouncements } from "./upstream_announcements.ts";
import { UpstreamGate } from "./upstream_gate.ts";
import { UpstreamHttpClient } from "./upstream_http_client.ts";
import type { UpstreamSignals } from "./upstream_signals.ts";
import { WatchElection } from "./watch_election.ts";

/** Control interval. */
const TICK_MS = 100;
/** Interval at which the latency histograms are rotated. */
const METRICS_INTERVAL_MS = 30_000;
/** A tick that is later than this shows that the process was stalled. */
const STALL_MIN_MS = 250;
/**
 * Maximum connections to the local upstream. It bounds the file descriptors;
 * the number of open requests is already limited by the slots.
 */
const CONNECTIONS_MAX_COUNT = 2_000;

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
  readonly #upstream: LocalUpstream;
  readonly #upstreamClient: UpstreamHttpClient;
  readonly #gate: UpstreamGate;
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
  #lastTickAtMs = performance.now();
  #metricsRotatedAtMs = performance.now();

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
    this.#upstream = this.#createUpstream();
    this.#upstreamClient = new UpstreamHttpClient(
      settings.upstream,
      platform.headers,
      {
        connectionsMaxCount: Math.min(
          CONNECTIONS_MAX_COUNT,
          this.#callerLimits.upstreamConnectionsMaxCount,
        ),
        isIdempotent: (routeName) =>
          this.#config.routes?.route(routeName)?.idempotent ?? false,
        onMisdirected: () => this.#upstream.markReplaced(),
        onSignals: (signals) => this.#onSignals(signals),
      },
    );
    this.#gate = new UpstreamGate({
      upstream: this.#upstream,
      client: this.#upstreamClient,
      heartbeatMs: settings.heartbeatMs,
      observer: this.#callObserver,
      decisions,
      log,
      requestIdHeader: platform.headers.requestId,
    });
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
      gate: this.#gate,
      graph: this.#callGraph,
      publisher: this.#publisher,
      directory: () => this.#directory,
      memory: this.#callerLimits.memory,
      log,
    });
    this.#directory = this.#createDirectory(this.#linkHost);
    this.#linkServer = new LinkServer(this.#linkHost, log);
    this.#admission = new EntryAdmission({
      channels: this.#channels,
      graph: this.#callGraph,
      random,
      log,
    });
    this.#outboundService = createOutboundService({
      settings,
      platform,
      config: this.#config,
      gate: this.#gate,
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
    );
    this.#announcements = new UpstreamAnnouncements({
      decode: platform.decodeAnnouncement,
      upstream: this.#upstream,
      client: this.#upstreamClient,
      directory: this.#directory,
      log,
    });
    this.#metrics = new FleetMetrics(() =>
      readGauges({
        config: this.#config,
        upstream: this.#upstream,
        directory: this.#directory,
        gate: this.#gate,
        watchElection: this.#watchElection,
        platform,
        graph: this.#callGraph,
        usage: this.#access.usage,
        currency: this.#access.currency,
        callerMemory: this.#callerLimits.memory,
        callerConnectionsCount: () => this.#outboundListener.connectionsCount,
      }), (reason) => this.#callerLimits.refusals.countOf(reason));
    this.#listeners = this.#createListeners();
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
    await this.#upstreamClient.close();
  }

  get #openCount(): number {
    return this.#outboundListener.openCount + this.#gate.openCount;
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
        this.#gate.stop();
        this.#outboundService.stop(endsAtMs);
        this.#publisher.publish();
      },
    });
  }

  #createUpstream(): LocalUpstream {
    return new LocalUpstream({
      log: this.#options.log,
      clock: new SystemClock(),
      listener: {
        onServing: () => {
          this.#gate.updateLimit();
          this.#publisher.publish();
        },
        onNotServing: () => {
          this.#gate.refuseWaiting();
          this.#publisher.publish();
        },
      },
    });
  }

  #createPublisher(): StatePublisher {
    return new StatePublisher({
      upstream: this.#upstream,
      gate: this.#gate,
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
        gate: this.#gate,
        readState: () => this.#publisher.state,
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
          this.#upstream.restoreDeparture(leftUpstream);
        }
      },
    });
  }

  #createListeners(): FleetListeners {
    return new FleetListeners({
      link: this.#linkServer,
      outbound: this.#outboundListener,
      readiness: new ControlListener(() => ({
        status: this.#lifecycle.isReady ? 200 : 503,
        body: JSON.stringify({ state: this.#lifecycle.stateName }),
      })),
      announcements: new ControlListener((request) =>
        this.#announcements.handle(request)
      ),
      metrics: new ControlListener(async () => ({
        status: 200,
        contentType: "text/plain; version=0.0.4",
        body: await this.#metrics.text(),
      })),
    });
  }

  #registerParts(): void {
    this.#loop.register(this.#lifecycle);
    this.#loop.register(this.#config);
    this.#loop.register(this.#access.currency);
    this.#loop.register(this.#directory);
    this.#loop.register({
      name: "tick",
      inputs: timerStream(TICK_MS),
      handle: (nowMs: number) => this.#tick(nowMs),
    });
  }

  #tick(nowMs: number): void {
    const lateMs = nowMs - this.#lastTickAtMs - TICK_MS;
    const stalledMs = lateMs > STALL_MIN_MS ? lateMs : 0;
    this.#lastTickAtMs = nowMs;
    this.#linkHost.tick(nowMs, stalledMs);
    this.#directory.tick(nowMs, stalledMs);
    this.#linkServer.tick(nowMs, stalledMs);
    this.#watchElection.tick(nowMs);
    this.#access.currency.tick();
    this.#access.usage.tick(nowMs);
    this.#outboundListener.tick(nowMs);
    this.#gate.tick(nowMs);
    if (this.#config.routes !== undefined) {
      this.#admission.step(this.#config.routes);
    }
    this.#publisher.tick(nowMs);
    if (nowMs - this.#metricsRotatedAtMs >= METRICS_INTERVAL_MS) {
      this.#metricsRotatedAtMs = nowMs;
      this.#metrics.rotate();
    }
    this.#stopSequence.tick(nowMs);
  }

  #onSignals(signals: UpstreamSignals): void {
    this.#gate.applySignals(signals);
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
    if (own !== undefined && this.#upstream.report === undefined) {
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
