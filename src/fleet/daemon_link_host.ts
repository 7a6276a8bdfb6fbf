/** Connects the links to the state and the services of the daemon. */
import type { InputDelay } from "../core/input_delay.ts";
import type { StartQueue } from "../core/start_queue.ts";
import type { CallGraph } from "../decisions/routing/call_graph.ts";
import type { CallerMemory } from "../decisions/memory/caller_memory.ts";
import type { ConfigPeer } from "../link/config_peer.ts";
import type { LinkServerHost } from "../link/link_server.ts";
import type { LinkHost } from "../link/link_host.ts";
import type {
  ForwardedRequest,
  RequestHandle,
  ResultReceiver,
} from "../link/upstream_channel.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type {
  CurrencyAnswer,
  LoadReport,
  UpstreamState,
} from "../schemas/link_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { ConfigFollower } from "./config_follower.ts";
import type { CurrencyTracker } from "./currency_tracker.ts";
import { ConfigQueries } from "./config_queries.ts";
import type { InputDelayLog } from "./input_delay_log.ts";
import type { MemberDirectory } from "./member_directory.ts";
import type { PoolFiguresSource } from "./pool_figures_source.ts";
import type { StatePublisher } from "./state_publisher.ts";
import type { UpstreamGate } from "./upstream_gate.ts";
import type { UsageCapPeers } from "./usage_caps.ts";

/** Wait that is too short to be taken off the remaining time of a request. */
const WAIT_MIN_MS = 1;

/** Parts of the daemon that {@link DaemonLinkHost} uses. */
export type DaemonLinkHostParts = {
  config: ConfigFollower;
  gate: UpstreamGate;
  graph: CallGraph;
  publisher: StatePublisher;
  currency: Pick<CurrencyTracker, "ageMs" | "onAnswer">;
  /** A function, because the directory is constructed later, with this host. */
  directory: () => MemberDirectory;
  /** Receives the messages about usage caps. */
  usageCaps: UsageCapPeers;
  /** Receives the reports of offered runs. */
  poolFigures: PoolFiguresSource;
  /** Account of what is held for callers, here and at peers. */
  memory: CallerMemory;
  inputDelay: Pick<InputDelay, "isBehind" | "measureStallMs">;
  inputDelayLog: Pick<InputDelayLog, "recordFrame">;
  startQueue: StartQueue;
  log: Logger;
};

/**
 * Provides dialled and accepted links with the daemon's state, runs the
 * requests of peers and applies what peers send.
 */
export class DaemonLinkHost implements LinkHost, LinkServerHost {
  readonly #parts: DaemonLinkHostParts;
  readonly #configQueries: ConfigQueries;

  /**
   * @param parts Parts of the daemon.
   */
  constructor(parts: DaemonLinkHostParts) {
    this.#parts = parts;
    this.#configQueries = new ConfigQueries({
      version: () => this.configVersion,
      log: parts.log,
    });
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
  get currencyAgeMs(): number | null {
    const { ageMs } = this.#parts.currency;
    // Rounded up, because the receiver must not take it for younger.
    return Number.isFinite(ageMs) ? Math.ceil(ageMs) : null;
  }

  /** @inheritdoc */
  get config(): unknown {
    return this.#parts.config.routes?.config;
  }

  /** @inheritdoc */
  get isBehind(): boolean {
    return this.#parts.inputDelay.isBehind;
  }

  /** @inheritdoc */
  serve(
    request: ForwardedRequest,
    receiver: ResultReceiver,
    frameDelayMs?: number,
  ): RequestHandle {
    this.#parts.inputDelayLog.recordFrame(frameDelayMs ?? 0);
    const bodyBytes = request.body?.length ?? 0;
    if (bodyBytes === 0) {
      return this.#serveInTime(request, receiver, frameDelayMs);
    }
    const { memory } = this.#parts;
    if (memory.isFull) {
      receiver.onFailure({
        kind: "memory_short",
        isNotRun: true,
        hasReached: false,
      });
      return { cancel: () => {} };
    }
    return this.#serveHolding(bodyBytes, request, receiver, frameDelayMs);
  }

  /** Serves a request and counts its body until it ends. */
  #serveHolding(
    bodyBytes: number,
    request: ForwardedRequest,
    receiver: ResultReceiver,
    frameDelayMs: number | undefined,
  ): RequestHandle {
    const { memory } = this.#parts;
    let isHeld = true;
    const release = () => {
      if (isHeld) {
        isHeld = false;
        memory.release(bodyBytes);
      }
    };
    memory.hold(bodyBytes);
    const handle = this.#serveInTime(request, {
      onAnswer: (answer) => {
        release();
        receiver.onAnswer(answer);
      },
      onFailure: (failure) => {
        release();
        receiver.onFailure(failure);
      },
      onRunning: (runMs) => receiver.onRunning?.(runMs),
    }, frameDelayMs);
    return {
      queryRun: () => handle.queryRun?.(),
      cancel: () => {
        release();
        handle.cancel();
      },
    };
  }

  /**
   * Serves a request, after a cancel that may have arrived behind it has been
   * read. While the delay of its frame is not known, it may have waited for as long
   * as the process was stalled.
   */
  #serveInTime(
    request: ForwardedRequest,
    receiver: ResultReceiver,
    frameDelayMs: number | undefined,
  ): RequestHandle {
    const { inputDelay, startQueue } = this.#parts;
    const delayMs = frameDelayMs ?? inputDelay.measureStallMs();
    const sentAtMs = performance.now() - delayMs;
    let handle: RequestHandle | undefined;
    const cancel = startQueue.add(() => {
      const waitedMs = performance.now() - sentAtMs;
      const served = this.#serveAfter(waitedMs, request, receiver);
      handle = served;
      return () => served.cancel();
    });
    return { cancel, queryRun: () => handle?.queryRun?.() };
  }

  /** Serves a request that has waited, in the time that is left. */
  #serveAfter(
    waitedMs: number,
    request: ForwardedRequest,
    receiver: ResultReceiver,
  ): RequestHandle {
    const { gate } = this.#parts;
    if (waitedMs < WAIT_MIN_MS) {
      return gate.serve(request, receiver);
    }
    const remainingMs = request.remainingMs - waitedMs;
    if (remainingMs <= 0) {
      receiver.onFailure({
        kind: "deadline_exceeded",
        isNotRun: true,
        hasReached: false,
      });
      return { cancel: () => {} };
    }
    const goalRemainingMs = request.goalRemainingMs - waitedMs;
    return gate.serve({ ...request, remainingMs, goalRemainingMs }, receiver);
  }

  /**
   * Asks peers again for a configuration that has not arrived. Called once per
   * control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    this.#configQueries.tick(nowMs);
  }

  /** @inheritdoc */
  onHello(record: MemberRecord): MemberRecord {
    return this.#parts.directory().upsertMember(record);
  }

  /** @inheritdoc */
  onConfigVersion(version: number, peer: ConfigPeer): void {
    this.#configQueries.noticeVersion(version, peer, performance.now());
  }

  /** @inheritdoc */
  onCurrency(answer: CurrencyAnswer, peer: ConfigPeer): void {
    this.#parts.currency.onAnswer(answer, peer.peerName);
    this.onConfigVersion(answer.version, peer);
  }

  /** @inheritdoc */
  onState(state: UpstreamState, peer: ConfigPeer): void {
    this.#parts.graph.update(peer.peerName, state.calls);
  }

  /** @inheritdoc */
  get members(): readonly MemberRecord[] {
    return this.#parts.directory().records;
  }

  /** @inheritdoc */
  onMembers(records: readonly MemberRecord[], peer: ConfigPeer): void {
    this.#parts.directory().handlePeerRecords(records, peer.peerName);
  }

  /** @inheritdoc */
  onUsageAsk(
    frame: readonly unknown[],
    peerName: string,
  ): readonly unknown[] | undefined {
    return this.#parts.usageCaps.handleAskFrame(frame, peerName);
  }

  /** @inheritdoc */
  onOffer(
    frame: readonly unknown[],
    peerName: string,
  ): readonly unknown[] | undefined {
    return this.#parts.poolFigures.handleOfferFrame(frame, peerName);
  }

  /** @inheritdoc */
  onUsageGrant(frame: readonly unknown[], peer: ConfigPeer): void {
    this.#parts.usageCaps.handleGrantFrame(frame, peer.peerName);
  }

  /** @inheritdoc */
  onConfig(config: unknown): void {
    this.#parts.config.applyFromPeer(config);
  }

  /** @inheritdoc */
  hasRoomFor(bodyBytes: number): boolean {
    return this.#parts.memory.hasRoomFor(bodyBytes);
  }

  /** @inheritdoc */
  onIncomplete(changeBytes: number): void {
    this.#parts.memory.hold(changeBytes);
  }
}
