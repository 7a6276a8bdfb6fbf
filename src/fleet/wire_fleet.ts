/** Constructs the parts of a daemon on a platform and connects them. */
import { setTimeout as delay } from "node:timers/promises";
import type { Stream } from "most";
import { EventLoop } from "../core/event_loop.ts";
import type { StoredObject } from "../core/platform_client.ts";
import type { RandomSource } from "../core/random.ts";
import { timerStream } from "../core/timer_stream.ts";
import { CallGraph, CallObserver } from "../decisions/call_graph.ts";
import { RepeatBudget } from "../decisions/repeat_budget.ts";
import { type FleetGauges, FleetMetrics } from "../telemetry/fleet_metrics.ts";
import { LinkServer, type LinkServerHost } from "../link/link_server.ts";
import type { LinkHost, PeerLink } from "../link/peer_link.ts";
import type {
  FleetConfig,
  FleetSettings,
  MemberRecord,
  UpstreamReport,
} from "../schemas/fleet_schema.ts";
import type { UpstreamState } from "../schemas/link_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import { ConfigFollower } from "./config_follower.ts";
import { DecisionLog } from "./decision_log.ts";
import type { EdgeHeaders } from "./edge_headers.ts";
import { EntryAdmission } from "./entry_admission.ts";
import { FleetLife, type FleetLifeEvent } from "./fleet_life.ts";
import { LocalPath } from "./local_path.ts";
import { LocalUpstream } from "./local_upstream.ts";
import { MemberDirectory, type MemberStore } from "./member_directory.ts";
import { OutboundListener } from "./outbound_listener.ts";
import { OutboundService } from "./outbound_service.ts";
import { PathTable } from "./path_table.ts";
import {
  type ControlAnswer,
  type ControlCall,
  SmallListener,
} from "./small_listener.ts";
import { UpstreamGate } from "./upstream_gate.ts";
import { UpstreamHttp } from "./upstream_http.ts";

const TICK_MS = 100;
/** Interval of the latency quantiles. */
const METRICS_INTERVAL_MS = 30_000;
/** A tick that is later than this shows that the process stood still. */
const STALL_MIN_MS = 250;
/** Change of the busy share that peers are told. */
const BUSY_STEP_RATIO = 0.08;
/** Below this share no entry sheds, so that changes are not told. */
const BUSY_TOLD_MIN_RATIO = 0.75;
const BUSY_INTERVAL_MS = 200;
/** Interval at which learned calls are compared with what peers know. */
const CALLS_INTERVAL_MS = 1_000;
/**
 * Time after SIGTERM for which callers still come: the platform asks for
 * readiness once a second and takes the instance out after two misses.
 */
const LINGER_MS = 2_300;
/**
 * Time after SIGTERM for which new requests are accepted. Callers go on coming
 * when half of a data centre's daemons are not ready.
 */
const ACCEPT_MS = 3_000;
/** Time before the end of the grace period at which the process ends itself. */
const GRACE_RESERVE_MS = 700;
/** Longest wait for the store before an upstream's leaving is acknowledged. */
const ACKNOWLEDGE_WAIT_MS = 400;
/** A configuration is asked for at most once in this time per peer answer. */
const CONFIG_QUERY_PAUSE_MS = 300;
/** The slots bound the open requests; this only guards the descriptors. */
const CONNECTIONS_MAX_COUNT = 2_000;

/** What the platform's adapter supplies. */
export type FleetPlatform = {
  headers: EdgeHeaders;
  store: MemberStore;
  configObjects: Stream<StoredObject>;
  configName: string;
  decodeConfig: (value: unknown) => FleetConfig;
  /** Log lines that nobody read in time. */
  droppedLinesCount: () => number;
  /** Decodes a call of the upstream; undefined for an unknown one. */
  decodeAnnouncement: (call: ControlCall) => Announcement | undefined;
};

/** What an upstream announces. */
export type Announcement =
  | { readonly kind: "heartbeat"; readonly report: UpstreamReport }
  | { readonly kind: "leave"; readonly upstreamId: string };

/** Options of {@link wireFleet}. */
export type WireFleetOptions = {
  platform: FleetPlatform;
  log: Logger;
  random: RandomSource;
  signals: Stream<FleetLifeEvent>;
};

/** A running daemon. */
export class FleetDaemon {
  readonly #settings: FleetSettings;
  readonly #options: WireFleetOptions;
  readonly #loop: EventLoop;
  readonly #life: FleetLife;
  readonly #config: ConfigFollower;
  readonly #upstream: LocalUpstream;
  readonly #http: UpstreamHttp;
  readonly #gate: UpstreamGate;
  readonly #directory: MemberDirectory;
  readonly #paths: PathTable;
  readonly #admission: EntryAdmission;
  readonly #graph = new CallGraph();
  readonly #observer = new CallObserver();
  readonly #links: LinkServer;
  readonly #service: OutboundService;
  readonly #outbound: OutboundListener;
  readonly #readiness: SmallListener;
  readonly #announcements: SmallListener;
  readonly #metricsListener: SmallListener;
  readonly #metrics: FleetMetrics;
  #lastState: UpstreamState | undefined;
  #lastTickMs = performance.now();
  #configQueriedMs = -Infinity;
  #idleTicksCount = 0;
  #callsComparedMs = -Infinity;
  #toldBusyRatio = 0;
  #toldBusyMs = -Infinity;
  #rotatedMs = performance.now();

  /**
   * @param settings Checked settings.
   * @param options Platform, log, random numbers and signals.
   */
  constructor(settings: FleetSettings, options: WireFleetOptions) {
    const { platform, log, random, signals } = options;
    const decisions = new DecisionLog(log);
    this.#settings = settings;
    this.#options = options;
    this.#loop = new EventLoop((part, error) =>
      log.error("Control part failed", { part, ...errorFields(error) })
    );
    this.#life = new FleetLife({
      log,
      signals,
      onStop: () => this.#stopWork(),
      onReload: () => {},
      openCount: () => this.#openCount,
    });
    this.#config = new ConfigFollower({
      objects: platform.configObjects,
      objectName: platform.configName,
      decode: platform.decodeConfig,
      log,
      onApplied: () => this.#onConfig(),
    });
    this.#upstream = new LocalUpstream({
      log,
      listener: {
        onServing: () => {
          this.#gate.open();
          this.#publishState();
        },
        onNotServing: () => {
          this.#gate.shut();
          this.#publishState();
        },
      },
    });
    this.#http = new UpstreamHttp(settings.upstream, platform.headers, {
      connectionsMaxCount: CONNECTIONS_MAX_COUNT,
      onMisdirected: () => this.#upstream.markUnfit(),
    });
    this.#gate = new UpstreamGate({
      upstream: this.#upstream,
      http: this.#http,
      heartbeatMs: settings.heartbeatMs,
      observer: this.#observer,
      decisions,
      requestIdHeader: platform.headers.requestId,
    });
    this.#paths = new PathTable({
      ownDataCentre: settings.dataCentre,
      random,
    });
    const ownRecord: MemberRecord = {
      name: settings.instanceName,
      dataCentre: settings.dataCentre,
      pool: settings.pool,
      link: settings.listeners.link,
    };
    this.#paths.add(
      new LocalPath({
        member: ownRecord,
        gate: this.#gate,
        readState: () => this.#ownState(),
      }),
    );
    this.#directory = new MemberDirectory({
      store: platform.store,
      ownRecord,
      paths: this.#paths,
      link: { host: this.#linkHost(), log, random },
      log,
      onOwnRecord: ({ leftUpstream }) => {
        if (leftUpstream !== undefined) {
          this.#upstream.rememberLeft(leftUpstream);
        }
      },
    });
    this.#links = new LinkServer(this.#linkHost(), log);
    this.#admission = new EntryAdmission({
      paths: this.#paths,
      graph: this.#graph,
      random,
      log,
    });
    this.#service = new OutboundService({
      names: platform.headers,
      config: this.#config,
      gate: this.#gate,
      observer: this.#observer,
      graph: this.#graph,
      admission: this.#admission,
      random,
      exchange: {
        paths: this.#paths,
        budget: new RepeatBudget({
          ratio: settings.repeatRatio,
          windowMs: settings.repeatWindowMs,
          slackCount: settings.repeatSlackCount,
        }),
        decisions,
        callerPool: settings.pool,
        requestIdHeader: platform.headers.requestId,
        daemonsCount: () => this.#directory.membersCount,
        runsPerRequest: (routeName) => this.#runsPerRequest(routeName),
        onEnd: ({ route, arrivedMs }, outcome) =>
          this.#metrics.record(
            route.name,
            outcome,
            performance.now() - arrivedMs,
          ),
      },
    });
    this.#outbound = new OutboundListener(this.#service);
    this.#readiness = new SmallListener(() => ({
      status: this.#life.isReady ? 200 : 503,
      body: JSON.stringify({ state: this.#life.stateName }),
    }));
    this.#announcements = new SmallListener((call) => this.#announce(call));
    this.#metrics = new FleetMetrics(() => this.#readGauges());
    this.#metricsListener = new SmallListener(async () => ({
      status: 200,
      contentType: "text/plain; version=0.0.4",
      body: await this.#metrics.text(),
    }));
    this.#registerParts();
  }

  /** Resolves when the process should end. */
  get ended(): Promise<void> {
    return this.#life.ended;
  }

  /** Whether the daemon takes new clients. */
  get isReady(): boolean {
    return this.#life.isReady;
  }

  /** Upstreams of other daemons that are connected and take requests. */
  get servingPeersCount(): number {
    return [...this.#directory.links]
      .filter(({ isUp, state }) => isUp && state?.isServing === true).length;
  }

  /**
   * Binds all listeners and starts the loop.
   *
   * @throws When an address cannot be bound.
   */
  async start(): Promise<void> {
    const { listeners, instanceName } = this.#settings;
    this.#loop.start();
    await Promise.all([
      this.#links.listen(listeners.link),
      this.#outbound.listen(listeners.outbound),
      this.#readiness.listen(listeners.readiness),
      this.#announcements.listen(listeners.announcements),
      this.#metricsListener.listen(listeners.metrics),
    ]);
    this.#options.log.info("Started", { instanceName });
  }

  /** Ends all listeners, links and calls. */
  async close(): Promise<void> {
    await this.#loop.stop();
    this.#outbound.close();
    this.#readiness.close();
    this.#announcements.close();
    this.#metricsListener.close();
    this.#links.close();
    this.#directory.close();
    await Promise.all([this.#http.close()]);
  }

  get #openCount(): number {
    return this.#outbound.openCount + this.#gate.openCount;
  }

  #registerParts(): void {
    this.#loop.register(this.#life);
    this.#loop.register(this.#config);
    this.#loop.register(this.#directory);
    this.#loop.register({
      name: "tick",
      inputs: timerStream(TICK_MS),
      handle: (nowMs: number) => this.#tick(nowMs),
    });
  }

  #readGauges(): FleetGauges {
    const nowMs = performance.now();
    const { store, droppedLinesCount } = this.#options.platform;
    const { runningCount, waitingCount, limitCount } = this.#gate;
    return {
      configVersion: this.#config.version,
      configAgeMs: Math.round(nowMs - this.#config.appliedAtMs),
      upstreamReportAgeMs: Math.round(nowMs - this.#upstream.reportedAtMs),
      linksUpCount: [...this.#directory.links]
        .filter(({ isUp }) => isUp).length,
      membersCount: this.#directory.membersCount,
      runningCount,
      waitingCount,
      slotsLimitCount: limitCount,
      storeReachable: store.isReachable ? 1 : 0,
      storeCallsCount: store.callsCount,
      logLinesDroppedCount: droppedLinesCount(),
    };
  }

  /** What links need, read at the time of use. */
  #linkHost(): LinkHost & LinkServerHost {
    const readOwnRecord = () => this.#directory.ownRecord;
    const readOwnState = () => this.#ownState();
    const readOwnLoad = () => this.#gate.load;
    const readConfig = () => this.#config.routes?.config;
    return {
      get ownRecord() {
        return readOwnRecord();
      },
      get ownState() {
        return readOwnState();
      },
      get ownLoad() {
        return readOwnLoad();
      },
      get config() {
        return readConfig();
      },
      serve: (request, receiver) => this.#gate.serve(request, receiver),
      onGreeted: (record) => this.#directory.learn(record),
      onPeerVersion: (version, peerName) => {
        const link = this.#directory.link(peerName);
        if (version > this.#config.version && link !== undefined) {
          this.#queryConfig(link);
        }
      },
      onConfigVersion: (version, link) => {
        if (version > this.#config.version) {
          this.#queryConfig(link);
        }
      },
      onState: (state, link) =>
        this.#graph.update(link.member.name, state.calls),
      onConfig: (config) => this.#config.receive(config),
    };
  }

  /** Asks a peer that has a newer configuration, at a bounded rate. */
  #queryConfig(link: PeerLink): void {
    const nowMs = performance.now();
    if (link.isUp && nowMs - this.#configQueriedMs >= CONFIG_QUERY_PAUSE_MS) {
      this.#configQueriedMs = nowMs;
      link.queryConfig();
    }
  }

  #ownState(): UpstreamState {
    const upstream = this.#upstream;
    const isStopping = this.#life.stoppingSinceMs !== undefined;
    return {
      upstreamId: upstream.report?.upstreamId ?? "",
      isServing: upstream.isServing && !this.#gate.isStopped,
      isStopping,
      limitCount: this.#gate.limitCount,
      isCold: (upstream.report?.coldRemainingMs ?? 0) > 0,
      busyRatio: Math.round(this.#gate.busyRatio * 100) / 100,
      configVersion: this.#config.version,
      calls: this.#lastState?.calls ?? [],
    };
  }

  #publishState(): void {
    const state = this.#ownState();
    this.#lastState = state;
    this.#links.broadcast(state);
  }

  #tick(nowMs: number): void {
    const lateMs = nowMs - this.#lastTickMs - TICK_MS;
    const stalledMs = lateMs > STALL_MIN_MS ? lateMs : 0;
    this.#lastTickMs = nowMs;
    this.#directory.tick(nowMs, stalledMs);
    this.#links.tick(nowMs, stalledMs);
    this.#gate.tick(nowMs);
    if (this.#config.routes !== undefined) {
      this.#admission.step(this.#config.routes);
    }
    this.#publishChange(nowMs);
    if (nowMs - this.#rotatedMs >= METRICS_INTERVAL_MS) {
      this.#rotatedMs = nowMs;
      this.#metrics.rotate();
    }
    this.#checkStop(nowMs);
  }

  #publishChange(nowMs: number): void {
    const state = this.#ownState();
    if (nowMs - this.#callsComparedMs >= CALLS_INTERVAL_MS) {
      this.#callsComparedMs = nowMs;
      const calls = this.#observer.edges();
      if (JSON.stringify(state.calls) !== JSON.stringify(calls)) {
        this.#graph.update(this.#settings.instanceName, calls);
        state.calls = calls;
      }
    }
    const last = this.#lastState;
    if (last?.isCold !== state.isCold || last.calls !== state.calls) {
      this.#lastState = state;
      this.#links.broadcast(state);
    }
    this.#publishBusy(state.busyRatio, nowMs);
  }

  #publishBusy(busyRatio: number, nowMs: number): void {
    const told = this.#toldBusyRatio;
    const isRelevant = Math.max(told, busyRatio) > BUSY_TOLD_MIN_RATIO;
    if (
      isRelevant && Math.abs(busyRatio - told) >= BUSY_STEP_RATIO &&
      nowMs - this.#toldBusyMs >= BUSY_INTERVAL_MS
    ) {
      this.#toldBusyRatio = busyRatio;
      this.#toldBusyMs = nowMs;
      this.#links.broadcastBusy(busyRatio);
    }
  }

  #onConfig(): void {
    const routes = this.#config.routes;
    if (routes === undefined) {
      return;
    }
    this.#outbound.applyLimits(routes.config.limits);
    this.#life.notify("configured");
    if (this.#upstream.report === undefined) {
      this.#checkUpstream().catch((error) =>
        this.#options.log.warn("Health check failed", errorFields(error))
      );
    }
  }

  /** Finds the upstream of a restarted daemon before its next heartbeat. */
  async #checkUpstream(): Promise<void> {
    const { pool } = this.#settings;
    const healthPath = this.#config.routes?.config.pools
      .find(({ name }) => name === pool)?.healthPath;
    if (healthPath === undefined) {
      return;
    }
    const health = await this.#http.checkHealth(healthPath);
    if (health !== undefined && this.#upstream.report === undefined) {
      this.#upstream.heartbeat({
        ...health,
        pool,
        state: "ready",
        sequence: 0,
        startedEpochMs: 0,
        coldRemainingMs: 0,
      });
    }
  }

  async #announce(call: ControlCall): Promise<ControlAnswer> {
    const announcement = this.#options.platform.decodeAnnouncement(call);
    if (announcement === undefined) {
      this.#options.log.warn("Announcement is not readable", { url: call.url });
      return { status: 400, body: "{}" };
    }
    if (announcement.kind === "heartbeat") {
      this.#upstream.heartbeat(announcement.report);
    } else {
      this.#upstream.leave(announcement.upstreamId);
    }
    await this.#rememberLeft();
    return { status: 200, body: "{}" };
  }

  /** Stores an upstream's leaving before it is acknowledged, if the store can. */
  async #rememberLeft(): Promise<void> {
    const { left } = this.#upstream;
    const stored = this.#directory.ownRecord.leftUpstream;
    if (
      left === undefined ||
      (left.upstreamId === stored?.upstreamId &&
        left.startedEpochMs === stored.startedEpochMs)
    ) {
      return;
    }
    await Promise.race([
      this.#directory.rememberLeft(left),
      delay(ACKNOWLEDGE_WAIT_MS, undefined, { ref: false }),
    ]);
  }

  #runsPerRequest(routeName: string): number {
    let sum = 0;
    for (const runs of this.#graph.runsByRoute(routeName).values()) {
      sum += runs;
    }
    return sum;
  }

  /** Others are preferred from now on; work continues until the callers left. */
  #stopWork(): void {
    this.#outbound.stop();
    this.#publishState();
  }

  #checkStop(nowMs: number): void {
    const sinceMs = this.#life.stoppingSinceMs;
    if (sinceMs === undefined) {
      return;
    }
    const stoppedMs = nowMs - sinceMs;
    this.#outbound.closeIdle();
    if (stoppedMs >= ACCEPT_MS && !this.#gate.isStopped) {
      this.#gate.stop();
      this.#service.stop();
      this.#publishState();
    }
    if (stoppedMs >= this.#settings.stopGraceMs - GRACE_RESERVE_MS) {
      this.#life.notify("graceOver");
      return;
    }
    // The second idle tick shows that the last answers have been flushed.
    this.#idleTicksCount = this.#openCount === 0 ? this.#idleTicksCount + 1 : 0;
    if (stoppedMs >= LINGER_MS && this.#idleTicksCount >= 2) {
      this.#life.notify("idle");
    }
  }
}

/**
 * Builds a daemon.
 *
 * @param settings Checked settings.
 * @param options Platform, log, random numbers and signals.
 * @returns Daemon that is not started yet.
 */
export function wireFleet(
  settings: FleetSettings,
  options: WireFleetOptions,
): FleetDaemon {
  return new FleetDaemon(settings, options);
}
