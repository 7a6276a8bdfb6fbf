/** A daemon's data path without sockets, on a virtual clock. */
import type { IncomingMessage } from "node:http";
import { empty } from "most";
import type { RandomSource } from "../../src/core/random.ts";
import { CallGraph } from "../../src/decisions/routing/call_graph.ts";
import { CallObserver } from "../../src/decisions/routing/call_observer.ts";
import { RetryBudget } from "../../src/decisions/retries/retry_budget.ts";
import type { ErrorKind } from "../../src/errors/error_kinds.ts";
import { errorAnswer } from "../../src/errors/error_kinds.ts";
import { Authenticator } from "../../src/fleet/authenticator.ts";
import { CallParents } from "../../src/fleet/call_parents.ts";
import { ChannelTable } from "../../src/fleet/channel_table.ts";
import { ConfigFollower } from "../../src/fleet/config_follower.ts";
import { DecisionLog } from "../../src/fleet/decision_log.ts";
import { EntryAdmission } from "../../src/fleet/entry_admission.ts";
import type { HeaderNames } from "../../src/fleet/header_names.ts";
import { LocalUpstream } from "../../src/fleet/local_upstream.ts";
import { LocalUpstreamChannel } from "../../src/fleet/local_upstream_channel.ts";
import { PoolFiguresSource } from "../../src/fleet/pool_figures_source.ts";
import { OutboundService } from "../../src/fleet/outbound_service.ts";
import { StatePublisher } from "../../src/fleet/state_publisher.ts";
import { UpstreamGate } from "../../src/fleet/upstream_gate.ts";
import { UnlimitedUsage } from "../../src/fleet/usage_cap_gate.ts";
import type { UpstreamHttpClient } from "../../src/fleet/upstream_http_client.ts";
import type {
  FleetConfig,
  MemberRecord,
} from "../../src/schemas/fleet_schema.ts";
import type {
  ForwardedRequest,
  ResultReceiver,
} from "../../src/link/upstream_channel.ts";
import type { UpstreamState } from "../../src/schemas/link_schema.ts";
import { NullLogger } from "../../src/telemetry/logger.ts";
import type { EventQueue } from "../policy/event_queue.ts";
import { SimulatedLink } from "./simulated_link.ts";
import {
  REQUEST_ID_HEADER,
  type SimulatedUpstream,
} from "./simulated_upstream.ts";

const HEARTBEAT_MS = 1_500;
const TICK_MS = 100;
const CONFIG_NAME = "main";
const REPEAT_RATIO = 0.2;
const REPEAT_WINDOW_MS = 10_000;
const REPEAT_SLACK_COUNT = 48;
const DEADLINE_HEADER = "deadline-ms";

const HEADERS: HeaderNames = {
  requestId: REQUEST_ID_HEADER,
  deadlineMs: DEADLINE_HEADER,
  answerSignature: "signature",
  targetUpstream: "target",
  load: "load",
  notRun: "not-run",
  callerPool: "caller-pool",
  rateLimit: "limit",
  leaving: "leaving",
  upstreamId: "upstream-id",
  tenant: "tenant",
};

/** Outcome of a request, as its caller sees it. */
export type CallerResult = {
  readonly status: number;
  /** Value of `retry-after`, in ms; undefined without one. */
  readonly retryAfterMs: number | undefined;
};

/** A request that a caller or an upstream sends to its daemon. */
export type CallerRequest = {
  readonly routeName: string;
  readonly requestId: string;
  readonly callerTimeoutMs: number;
  /** API key of the caller's tenant. */
  readonly key?: string | undefined;
};

/** Options of {@link SimulatedDaemon}. */
export type SimulatedDaemonOptions = {
  events: EventQueue;
  random: RandomSource;
  name: string;
  pool: string;
  dataCentre: string;
  slotsCount: number;
  config: FleetConfig;
  upstream: SimulatedUpstream;
  daemonsCount: number;
  /** Whether it is of a version that does not answer reports of offered runs. */
  isEarlierVersion?: boolean;
};

function parentIdOf(requestId: string): string | undefined {
  const end = requestId.lastIndexOf(".");
  return end < 0 ? undefined : requestId.slice(0, end);
}

/** One process of a daemon; a restart is another instance. */
export class SimulatedDaemon {
  readonly gate: UpstreamGate;
  readonly poolFigures: PoolFiguresSource;
  readonly record: MemberRecord;
  readonly #options: SimulatedDaemonOptions;
  readonly #graph = new CallGraph();
  readonly #channels: ChannelTable;
  readonly #admission: EntryAdmission;
  readonly #publisher: StatePublisher;
  readonly #outbound: OutboundService;
  readonly #config: ConfigFollower;
  readonly #inbound = new Set<SimulatedLink>();
  #isStopped = false;

  /**
   * @param options Virtual time, identity, configuration and upstream.
   */
  constructor(options: SimulatedDaemonOptions) {
    const { random, name, pool, dataCentre, slotsCount } = options;
    const log = new NullLogger();
    const decisions = new DecisionLog(log);
    const observer = new CallObserver();
    this.#options = options;
    this.record = {
      name,
      dataCentre,
      pool,
      link: { host: "127.0.0.1", port: 1 },
    };
    const upstream = new LocalUpstream({
      log,
      clock: { wallMs: () => performance.now() },
      listener: {
        onServing: () => {
          this.gate.updateLimit();
          this.#publisher.publish();
        },
        onNotServing: () => this.gate.refuseWaiting(),
      },
    });
    this.gate = new UpstreamGate({
      upstream,
      client: {
        send: (request: ForwardedRequest, receiver: ResultReceiver) =>
          options.upstream.send(request, {
            onAnswer: (answer) => {
              const { upstreamId } = request;
              this.gate.applySignals({
                upstreamId,
                limitPerS: undefined,
                isLeaving: false,
                slowdownRatio: options.upstream.slowdownRatio,
              });
              receiver.onAnswer(answer);
            },
            onFailure: (failure) => receiver.onFailure(failure),
          }),
      } as unknown as UpstreamHttpClient,
      heartbeatMs: HEARTBEAT_MS,
      // The simulation has no input that is read late.
      startQueue: { add: (start) => start() },
      observer,
      decisions,
      log,
      requestIdHeader: REQUEST_ID_HEADER,
      tenantHeader: HEADERS.tenant,
    });
    this.poolFigures = new PoolFiguresSource(this.gate);
    this.#publisher = new StatePublisher({
      upstream,
      gate: this.gate,
      observer,
      peers: () => ({
        broadcastState: (state) => this.#broadcastState(state),
        broadcastBusyRatio: (ratio) => this.#broadcastBusyRatio(ratio),
        linksCount: this.#inbound.size,
      }),
      configVersion: () => this.#config.version,
      isStopping: () => false,
      isWatching: () => false,
      onCalls: (calls) => this.#graph.update(name, calls),
    });
    this.#channels = new ChannelTable({ ownDataCentre: dataCentre, random });
    this.#channels.add(
      new LocalUpstreamChannel({
        member: this.record,
        gate: this.gate,
        readState: () => this.#publisher.state,
        poolFigures: this.poolFigures,
      }),
    );
    this.#config = new ConfigFollower({
      objects: empty(),
      objectName: CONFIG_NAME,
      decode: (value) => value as FleetConfig,
      log,
      onApplied: () => {},
    });
    this.#admission = new EntryAdmission({
      channels: this.#channels,
      graph: this.#graph,
      random,
      log,
      retryRatio: REPEAT_RATIO,
      coordinatesPools: true,
    });
    this.#outbound = this.#createOutbound(observer, decisions);
    this.#config.handle({
      kind: "config",
      name: CONFIG_NAME,
      value: options.config,
      version: 1,
    });
    upstream.handleHeartbeat({
      upstreamId: name,
      pool,
      slotsCount,
      state: "ready",
      sequence: 1,
      startedEpochMs: 1,
      coldRemainingMs: 0,
    });
    this.#scheduleTick();
  }

  /** Whether it does not answer reports of offered runs. */
  get isEarlierVersion(): boolean {
    return this.#options.isEarlierVersion ?? false;
  }

  /** Whether the process has been killed. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /**
   * Admission level of a pool at this daemon.
   *
   * @param pool Name of the pool.
   * @returns Number of admitted classes; undefined before the first step.
   */
  admissionLevel(pool: string): number | undefined {
    return this.#admission.level(pool);
  }

  /**
   * Opens a link to another daemon.
   *
   * @param peer Peer, already constructed.
   */
  connect(peer: SimulatedDaemon): void {
    const link = new SimulatedLink(this.#options.events, {
      ownName: this.record.name,
      peer,
      state: peer.#publisher.state,
      onState: (state) => this.#graph.update(peer.record.name, state.calls),
    });
    peer.#inbound.add(link);
    this.#channels.add(link);
  }

  /** Kills the process: nothing of it acts or answers from now on. */
  kill(): void {
    this.#isStopped = true;
  }

  /**
   * Handles a request of a caller on this instance or a downstream call.
   *
   * @param request Request.
   * @param onResult Called with the answer, unless the request is cancelled.
   * @returns Cancels the request.
   */
  handle(
    request: CallerRequest,
    onResult: (result: CallerResult) => void,
  ): () => void {
    const { routeName, requestId, callerTimeoutMs, key } = request;
    const message = {
      method: "GET",
      url: "/",
      headers: {
        host: `${routeName}.example`,
        [REQUEST_ID_HEADER]: requestId,
        [DEADLINE_HEADER]: String(Math.floor(callerTimeoutMs)),
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
      },
      rawHeaders: [REQUEST_ID_HEADER, requestId],
    } as unknown as IncomingMessage;
    const arrivedAtMs = this.#options.events.nowMs;
    const received = { message, body: null, arrivedAtMs, inputDelayMs: 0 };
    return this.#outbound.handle(received, {
      answer: ({ status }) => onResult({ status, retryAfterMs: undefined }),
      fail: (kind: ErrorKind, retryAfterMs?: number) =>
        onResult({
          status: errorAnswer(kind).status,
          retryAfterMs: retryAfterMs ?? this.#outbound.retryAfterMs(kind),
        }),
    });
  }

  #createOutbound(
    observer: CallObserver,
    decisions: DecisionLog,
  ): OutboundService {
    const { random, pool, daemonsCount } = this.#options;
    return new OutboundService({
      names: HEADERS,
      decodeParentId: parentIdOf,
      config: this.#config,
      callParents: new CallParents({
        decodeParentId: parentIdOf,
        gate: this.gate,
        graph: this.#graph,
        observer,
      }),
      graph: this.#graph,
      observer,
      admission: this.#admission,
      authenticator: new Authenticator({
        names: HEADERS,
        config: this.#config,
        revocationMaxMs: undefined,
        currencyAgeMs: () => 0,
        onRefused: () => {},
      }),
      heldBytes: () => 0,
      random,
      exchange: {
        usage: new UnlimitedUsage(),
        recheckKey: () => undefined,
        channels: this.#channels,
        budget: new RetryBudget({
          ratio: REPEAT_RATIO,
          windowMs: REPEAT_WINDOW_MS,
          slackCount: REPEAT_SLACK_COUNT,
        }),
        decisions,
        callerPool: pool,
        requestIdHeader: REQUEST_ID_HEADER,
        daemonsCount: () => daemonsCount,
        runsPerRequest: (routeName) => this.#graph.totalRunsOf(routeName),
        isShedding: (route) => this.#admission.isShedding(route),
        isRefusing: (name) => this.#admission.isRefusing(name),
        onEnd: () => {},
      },
    });
  }

  #scheduleTick(): void {
    const { events } = this.#options;
    events.after(TICK_MS, () => {
      if (this.#isStopped) {
        return;
      }
      this.gate.tick(events.nowMs);
      if (this.#config.routes !== undefined) {
        this.#admission.step(this.#config.routes);
      }
      this.#publisher.tick(events.nowMs);
      this.#scheduleTick();
    });
  }

  #broadcastState(state: UpstreamState): void {
    for (const link of this.#inbound) {
      link.receiveState(state);
    }
  }

  #broadcastBusyRatio(busyRatio: number): void {
    for (const link of this.#inbound) {
      link.receiveBusyRatio(busyRatio);
    }
  }
}
