/** Dialling side of the link to another daemon. */
import { connect } from "node:net";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { RandomSource } from "../core/random.ts";
import { type ErrorKind, isErrorKind } from "../errors/error_kinds.ts";
import {
  type ForwardedRequest,
  PathLoad,
  type ResultReceiver,
  type SentRequest,
  type UpstreamPath,
} from "./upstream_path.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import {
  type AnswerFrame,
  busyFrameSchema,
  FRAME,
  helloFrameSchema,
  type RefusalFrame,
  type RequestFrame,
  stateFrameSchema,
  type UpstreamState,
} from "../schemas/link_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import { type FrameReceiver, LinkSocket } from "./link_socket.ts";

const DIAL_TIMEOUT_MS = 1_000;
const REDIAL_BASE_MS = 150;
const REDIAL_MAX_MS = 1_000;
/** Silence after which the peer is pinged while requests are open. */
const BUSY_SILENCE_MS = 300;
/** Silence after which the peer is pinged while no requests are open. */
const IDLE_SILENCE_MS = 2_000;
/** Time without any frame after a ping until other peers are preferred. */
const SUSPECT_MS = 150;
/**
 * Time without any frame after a ping until the link is closed. A peer whose
 * processor is stalled for less keeps its link.
 */
const PONG_TIMEOUT_MS = 900;

/** Services of the daemon that links use. */
export interface LinkHost {
  /** Entry of this daemon. */
  readonly ownRecord: MemberRecord;
  /** State of the upstream beside this daemon. */
  readonly ownState: UpstreamState;
  /** Version of this daemon's configuration in force. */
  readonly configVersion: number;
  /** Called with the entry of the instance that answers at the address. */
  onHello(record: MemberRecord): void;
  /** Called with the configuration version that a peer has sent. */
  onConfigVersion(version: number, link: PeerLink): void;
  /** Called when the state of a peer's upstream has changed. */
  onState(state: UpstreamState, link: PeerLink): void;
  /** Called with the configuration that a peer returns to a query. */
  onConfig(config: unknown): void;
}

/** Options of {@link PeerLink}. */
export type PeerLinkOptions = {
  host: LinkHost;
  log: Logger;
  random: RandomSource;
};

/** Runs the chart `link` and tracks the open exchanges of the link. */
export class PeerLink implements UpstreamPath, FrameReceiver {
  /** @inheritdoc */
  readonly load = new PathLoad();
  #member: MemberRecord;
  #state: UpstreamState | undefined;
  readonly #options: PeerLinkOptions;
  readonly #machine: StateMachine;
  readonly #pending = new Map<number, ResultReceiver>();
  #socket: LinkSocket | undefined;
  #nextExchange = 1;
  #failuresCount = 0;
  #dialAtMs = 0;
  #dialledMs = 0;
  #pingSentMs: number | undefined;
  #isSuspect = false;
  /** Monotonic time at which the link last went down or was created, in ms. */
  downSinceMs = performance.now();

  /**
   * @param member Instance to connect to.
   * @param options Services of the daemon, logger and source of the jitter.
   */
  constructor(member: MemberRecord, options: PeerLinkOptions) {
    this.#member = member;
    this.#options = options;
    this.#machine = new StateMachine(LINK_CHART, this);
  }

  /** @inheritdoc */
  get member(): MemberRecord {
    return this.#member;
  }

  /** @inheritdoc */
  get state(): UpstreamState | undefined {
    return this.#state;
  }

  /** @inheritdoc */
  get isSuspect(): boolean {
    return this.#isSuspect;
  }

  /** Whether the peer is connected. */
  get isUp(): boolean {
    return this.#machine.is("up");
  }

  /**
   * Dials when it is due, and checks the time limits of dialling and silence.
   *
   * @param nowMs Monotonic time, in ms.
   * @param stalledMs Time for which this process was stalled, in ms; it does
   *   not count against these limits.
   */
  tick(nowMs: number, stalledMs: number): void {
    if (this.#machine.is("idle") && nowMs >= this.#dialAtMs) {
      this.#machine.send("dialDue", nowMs);
      return;
    }
    const socket = this.#socket;
    if (socket === undefined) {
      return;
    }
    if (stalledMs > 0) {
      socket.lastReceivedMs += stalledMs;
      this.#dialledMs += stalledMs;
    }
    if (this.#machine.is("dialling")) {
      this.#checkDial(nowMs);
      return;
    }
    this.#checkSilence(socket, nowMs);
  }

  /** Skips the back-off: dials at the next tick. */
  dialSoon(): void {
    this.#dialAtMs = 0;
  }

  /**
   * Replaces the entry of the member; a new address ends the connection.
   *
   * @param member New entry under the same name.
   */
  update(member: MemberRecord): void {
    const hasNewAddress = member.link.host !== this.#member.link.host ||
      member.link.port !== this.#member.link.port;
    this.#member = member;
    if (hasNewAddress) {
      this.#machine.send("broken", "The peer's address has changed");
      this.#dialAtMs = 0;
    }
  }

  /** Closes the link permanently. */
  remove(): void {
    this.#machine.send("removed", "The peer was removed");
  }

  /** Asks the peer for its configuration. */
  queryConfig(): void {
    this.#socket?.send([FRAME.configQuery]);
  }

  /** @inheritdoc */
  send(request: ForwardedRequest, receiver: ResultReceiver): SentRequest {
    const socket = this.#socket;
    if (socket === undefined || !this.isUp) {
      receiver.onFailure({
        kind: "no_upstream",
        isNotRun: true,
        hasReached: false,
      });
      return { cancel: () => {} };
    }
    const exchange = this.#nextExchange++;
    this.#pending.set(exchange, receiver);
    this.load.pendingCount++;
    this.load.sentSinceReportCount++;
    const { encoder } = socket;
    const frame: RequestFrame = [
      FRAME.request,
      exchange,
      encoder.encode(request.upstreamId),
      encoder.encode(request.method),
      request.path,
      encoder.encodeAll(request.headers),
      request.body,
      Math.round(request.remainingMs),
      encoder.encode(request.routeName),
      Math.round(request.goalLeftMs),
      request.isRefusable,
      encoder.encode(request.callerPool),
      this.#options.host.configVersion,
    ];
    socket.send(frame);
    return { cancel: () => this.#cancel(exchange) };
  }

  /** @inheritdoc */
  onFrame(frame: unknown[]): void {
    this.#pingSentMs = undefined;
    this.#isSuspect = false;
    switch (frame[0]) {
      case FRAME.answer:
        return this.#onAnswer(frame as AnswerFrame);
      case FRAME.refusal:
        return this.#onRefusal(frame as RefusalFrame);
      case FRAME.hello:
        return this.#onHello(frame);
      case FRAME.state:
        return this.#onState(stateFrameSchema.parse(frame)[1]);
      case FRAME.busy:
        return this.#onBusy(busyFrameSchema.parse(frame)[1]);
      case FRAME.config:
        return this.#options.host.onConfig(frame[1]);
      default:
        return;
    }
  }

  /** @inheritdoc */
  onClosed(reason: string): void {
    this.#machine.send("broken", reason);
  }

  /** Action: opens a connection. */
  dial(nowMs: number): void {
    const { host, port } = this.#member.link;
    this.#dialledMs = nowMs;
    this.#pingSentMs = undefined;
    this.#isSuspect = false;
    const tcp = connect({ host, port });
    const socket: LinkSocket = new LinkSocket(tcp, {
      onFrame: (frame) => this.onFrame(frame),
      onClosed: (reason) => {
        if (this.#socket === socket) {
          this.onClosed(reason);
        }
      },
    });
    this.#socket = socket;
    const { ownRecord, ownState } = this.#options.host;
    socket.send([FRAME.hello, ownRecord, ownState]);
  }

  /** Action: closes the connection. */
  closeConnection(reason: string): void {
    const socket = this.#socket;
    this.#socket = undefined;
    this.#state = undefined;
    socket?.close(reason);
  }

  /** Action: schedules the next dial, with exponential back-off and jitter. */
  scheduleDial(): void {
    const boundMs = Math.min(
      REDIAL_MAX_MS,
      REDIAL_BASE_MS * 2 ** this.#failuresCount,
    );
    this.#failuresCount++;
    this.#dialAtMs = performance.now() +
      boundMs * (0.5 + this.#options.random.nextFloat() / 2);
  }

  /** Action: logs that the link is up. */
  reportUp(): void {
    this.#failuresCount = 0;
    this.#options.log.info("Link up", {
      peer: this.#member.name,
      downMs: Math.round(performance.now() - this.downSinceMs),
    });
  }

  /** Action: logs that the link is down. */
  reportDown(reason: string): void {
    this.downSinceMs = performance.now();
    this.#options.log.warn("Link down", { peer: this.#member.name, reason });
  }

  /** Action: fails the open exchanges. Their requests may have run. */
  failPending(): void {
    const receivers = [...this.#pending.values()];
    this.#pending.clear();
    this.load.pendingCount = 0;
    for (const receiver of receivers) {
      receiver.onFailure({
        kind: "peer_failed",
        isNotRun: false,
        hasReached: true,
      });
    }
  }

  #onHello(frame: unknown[]): void {
    const [, record, state] = helloFrameSchema.parse(frame);
    this.#options.host.onHello(record);
    if (record.name !== this.#member.name) {
      this.#machine.send("mismatched", `The address belongs to ${record.name}`);
      return;
    }
    this.#machine.send("greeted");
    this.#onState(state);
  }

  #onState(state: UpstreamState): void {
    this.#state = state;
    this.#options.host.onState(state, this);
    this.#options.host.onConfigVersion(state.configVersion, this);
  }

  #onBusy(percent: number): void {
    if (this.#state !== undefined) {
      this.#state = { ...this.#state, busyRatio: percent / 100 };
    }
  }

  #onAnswer(frame: AnswerFrame): void {
    const [, exchange, status, wireHeaders, body, runMs, load, version] = frame;
    const headers = this.#socket?.decoder.decodeAll(wireHeaders) ?? [];
    const receiver = this.#removePending(exchange);
    this.load.update(load);
    this.#options.host.onConfigVersion(version, this);
    receiver?.onAnswer({ status, headers, body, runMs });
  }

  #onRefusal(frame: RefusalFrame): void {
    const [, exchange, kind, isNotRun, hasReached, load, version] = frame;
    const receiver = this.#removePending(exchange);
    this.load.update(load);
    this.#options.host.onConfigVersion(version, this);
    const knownKind: ErrorKind = isErrorKind(kind) ? kind : "peer_failed";
    receiver?.onFailure({ kind: knownKind, isNotRun, hasReached });
  }

  #removePending(exchange: number): ResultReceiver | undefined {
    const receiver = this.#pending.get(exchange);
    if (receiver !== undefined) {
      this.#pending.delete(exchange);
      this.load.pendingCount--;
    }
    return receiver;
  }

  #cancel(exchange: number): void {
    if (this.#removePending(exchange) !== undefined) {
      this.#socket?.send([FRAME.cancel, exchange]);
    }
  }

  #checkDial(nowMs: number): void {
    if (nowMs - this.#dialledMs > DIAL_TIMEOUT_MS) {
      this.#machine.send("broken", "No hello frame in time");
    }
  }

  #checkSilence(socket: LinkSocket, nowMs: number): void {
    const limitMs = this.#pending.size > 0 ? BUSY_SILENCE_MS : IDLE_SILENCE_MS;
    if (nowMs - socket.lastReceivedMs < limitMs) {
      return;
    }
    if (this.#pingSentMs === undefined) {
      this.#pingSentMs = nowMs;
      socket.send([FRAME.ping]);
      return;
    }
    const waitedMs = nowMs - Math.max(this.#pingSentMs, socket.lastReceivedMs);
    this.#isSuspect = waitedMs > SUSPECT_MS;
    if (waitedMs > PONG_TIMEOUT_MS) {
      this.#machine.send("broken", "The peer is silent");
    }
  }
}

const LINK_CHART = loadChart("link", PeerLink.prototype);
