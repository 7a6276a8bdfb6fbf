/** Link to another daemon, on the side that opens the connection. */
import { connect } from "node:net";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { UpstreamFigures } from "../decisions/sharing/pool_figures.ts";
import {
  type ForwardedRequest,
  type RequestHandle,
  type ResultReceiver,
  type UpstreamChannel,
  UpstreamLoad,
} from "./upstream_channel.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import {
  type AnswerFrame,
  busyFrameSchema,
  configVersionFrameSchema,
  currencyFrameSchema,
  FRAME,
  helloFrameSchema,
  membersFrameSchema,
  type RefusalFrame,
  stateFrameSchema,
  type UpstreamState,
} from "../schemas/link_schema.ts";
import type { ConfigPeer } from "./config_peer.ts";
import { DialBackoff } from "./dial_backoff.ts";
import { LinkExchanges } from "./link_exchanges.ts";
import type { PeerLinkOptions } from "./link_host.ts";
import { type FrameReceiver, LinkSocket } from "./link_socket.ts";
import { OfferReports } from "./offer_reports.ts";
import { SilenceMonitor } from "./silence_monitor.ts";

/** Time from dialling until the hello frame of the peer must have arrived. */
const DIAL_TIMEOUT_MS = 1_000;

/**
 * Link that this daemon opens to a member, as defined by the chart `link`. It
 * sends requests to the member's upstream and tracks those without a result.
 */
export class PeerLink implements UpstreamChannel, ConfigPeer, FrameReceiver {
  /** @inheritdoc */
  readonly load = new UpstreamLoad();
  #member: MemberRecord;
  #state: UpstreamState | undefined;
  readonly #options: PeerLinkOptions;
  readonly #machine: StateMachine;
  readonly #exchanges: LinkExchanges;
  #socket: LinkSocket | undefined;
  readonly #backoff: DialBackoff;
  #dialledAtMs = 0;
  readonly #offers = new OfferReports();
  readonly #silence = new SilenceMonitor();
  /** Monotonic time at which the link last went down or was created, in ms. */
  downSinceMs = performance.now();

  /**
   * @param member Member to connect to.
   * @param options State and callbacks of the daemon, logger and random
   *   numbers.
   */
  constructor(member: MemberRecord, options: PeerLinkOptions) {
    this.#member = member;
    this.#options = options;
    this.#exchanges = new LinkExchanges({
      load: this.load,
      host: options.host,
      peer: this,
      getSocket: () => this.#socket,
    });
    this.#backoff = new DialBackoff(options.random);
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
  get figures(): UpstreamFigures | undefined {
    return this.#offers.figures;
  }

  /** @inheritdoc */
  get isSuspect(): boolean {
    return this.#silence.isSuspect;
  }

  /** @inheritdoc */
  get peerName(): string {
    return this.#member.name;
  }

  /** Whether the peer is connected. */
  get isUp(): boolean {
    return this.#machine.is("up");
  }

  /**
   * Dials when it is due, and checks the timeouts of the dial and of silence.
   *
   * @param nowMs Monotonic time, in ms.
   * @param stalledMs Time for which this process was stalled, in ms; it does
   *   not count towards these timeouts.
   */
  tick(nowMs: number, stalledMs: number): void {
    if (this.#machine.is("idle") && nowMs >= this.#backoff.dialAtMs) {
      this.#machine.send("dialDue", nowMs);
      return;
    }
    const socket = this.#socket;
    if (socket === undefined) {
      return;
    }
    if (stalledMs > 0) {
      socket.lastReceivedAtMs += stalledMs;
      this.#dialledAtMs += stalledMs;
    }
    if (this.#machine.is("dialling")) {
      this.#checkDial(nowMs);
      return;
    }
    this.#checkSilence(socket, nowMs);
  }

  /**
   * Makes the next tick dial, without waiting for the back-off. Called when a
   * record of the member has arrived.
   */
  dialSoon(): void {
    this.#backoff.clear();
  }

  /**
   * Replaces the record of the member. A new address closes the connection.
   *
   * @param member New record with the same name.
   */
  updateMember(member: MemberRecord): void {
    const hasNewAddress = member.link.host !== this.#member.link.host ||
      member.link.port !== this.#member.link.port;
    this.#member = member;
    if (hasNewAddress) {
      this.#machine.send("broken", "The peer's address has changed");
      this.#backoff.clear();
    }
  }

  /** Closes the link permanently. */
  remove(): void {
    this.#machine.send("removed", "The peer was removed");
  }

  /** @inheritdoc */
  queryConfig(): void {
    this.#socket?.send([FRAME.configQuery]);
  }

  /**
   * Asks the peer as of when its configuration was surely the newest.
   *
   * @param number Number that the answer repeats.
   */
  queryCurrency(number: number): void {
    this.#socket?.send([FRAME.currencyQuery, number]);
  }

  /** Asks the peer for the members that it knows. */
  queryMembers(): void {
    this.#socket?.send([FRAME.memberQuery]);
  }

  /** Sends a message to the peer as the owner of usage caps. */
  sendUsageAsk(frame: readonly unknown[]): void {
    this.#socket?.send(frame);
  }

  /** @inheritdoc */
  reportOffer(offeredPerS: readonly number[]): void {
    const frame = this.#offers.createFrame(offeredPerS);
    this.#socket?.send(frame);
  }

  /** @inheritdoc */
  send(request: ForwardedRequest, receiver: ResultReceiver): RequestHandle {
    const socket = this.#socket;
    if (socket === undefined || !this.isUp || socket.isCongested) {
      receiver.onFailure({
        kind: "no_upstream",
        isNotRun: true,
        hasReached: false,
      });
      return { cancel: () => {} };
    }
    return this.#exchanges.send(socket, request, receiver, {
      reservesRoom: this.#state?.reservesRoom ?? false,
    });
  }

  /** @inheritdoc */
  onFrame(frame: unknown[]): void {
    const { host } = this.#options;
    this.#silence.reset();
    switch (frame[0]) {
      case FRAME.answer:
        return this.#exchanges.handleAnswer(frame as AnswerFrame);
      case FRAME.refusal:
        return this.#exchanges.handleRefusal(frame as RefusalFrame);
      case FRAME.running:
        return this.#exchanges.handleRunning(frame);
      case FRAME.reserved:
        return this.#exchanges.handleReserved(frame);
      case FRAME.hello:
        return this.#onHello(frame);
      case FRAME.state:
        return this.#onState(stateFrameSchema.parse(frame)[1]);
      case FRAME.busy:
        return this.#onBusy(busyFrameSchema.parse(frame)[1]);
      case FRAME.config:
        return host.onConfig(frame[1]);
      case FRAME.configQuery:
        return this.#socket?.send([FRAME.config, host.config ?? null]);
      case FRAME.members:
        return host.onMembers(membersFrameSchema.parse(frame)[1], this);
      case FRAME.currency:
        return host.onCurrency(currencyFrameSchema.parse(frame), this);
      case FRAME.configVersion:
        return host.onConfigVersion(
          configVersionFrameSchema.parse(frame)[1],
          this,
        );
      case FRAME.poolFigures:
        return this.#offers.handleFigures(frame);
      case FRAME.usageGrant:
        return host.onUsageGrant?.(frame, this);
    }
  }

  /** @inheritdoc */
  onClosed(reason: string): void {
    this.#machine.send("broken", reason);
  }

  /** Action: opens a connection and sends a hello frame. */
  dial(nowMs: number): void {
    const { host, port } = this.#member.link;
    this.#dialledAtMs = nowMs;
    this.#silence.reset();
    const tcp = connect({ host, port });
    const socket: LinkSocket = new LinkSocket(tcp, {
      onFrame: (frame) => this.onFrame(frame),
      onIncomplete: (changeBytes) =>
        this.#options.host.onIncomplete?.(changeBytes),
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
    this.#offers.clear();
    socket?.close(reason);
  }

  /** Action: schedules the next dial, with exponential back-off and jitter. */
  scheduleDial(): void {
    this.#backoff.schedule(performance.now());
  }

  /** Action: resets the back-off and logs that the link is up. */
  reportUp(): void {
    this.#backoff.reset();
    this.#options.log.info("Link up", {
      peer: this.#member.name,
      downMs: Math.round(performance.now() - this.downSinceMs),
    });
  }

  /** Action: records the time and logs that the link is down. */
  reportDown(reason: string): void {
    this.downSinceMs = performance.now();
    this.#options.log.warn("Link down", { peer: this.#member.name, reason });
  }

  /** Action: fails the requests without a result. */
  failPending(): void {
    this.#exchanges.failAll();
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

  #checkDial(nowMs: number): void {
    if (nowMs - this.#dialledAtMs > DIAL_TIMEOUT_MS) {
      this.#machine.send("broken", "No hello frame in time");
    }
  }

  #checkSilence(socket: LinkSocket, nowMs: number): void {
    const { ownRecord } = this.#options.host;
    const action = this.#silence.check({
      nowMs,
      lastReceivedAtMs: socket.lastReceivedAtMs,
      hasOpenRequests: this.#exchanges.pendingCount > 0,
      isRemote: this.#member.dataCentre !== ownRecord.dataCentre,
    });
    if (action === "ping") {
      socket.send([FRAME.ping]);
    } else if (action === "close") {
      this.#machine.send("broken", "The peer is silent");
    }
  }
}

const LINK_CHART = loadChart("link", PeerLink.prototype);
