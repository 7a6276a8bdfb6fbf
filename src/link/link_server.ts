/** Accepts links from other daemons and serves the requests on them. */
import { createServer, type Server, type Socket } from "node:net";
import type {
  ForwardedRequest,
  ForwardFailure,
  RequestHandle,
  ResultReceiver,
} from "./upstream_channel.ts";
import { ChurnMap } from "../core/churn_map.ts";
import { listenOn } from "../core/listen_on.ts";
import { MessageDelay } from "../core/message_delay.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import {
  FRAME,
  helloFrameSchema,
  type LoadReport,
  type RequestFrame,
  reserveFrameSchema,
  type UpstreamState,
} from "../schemas/link_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { ConfigPeer } from "./config_peer.ts";
import { FrameMemory } from "./frame_memory.ts";
import { type FrameReceiver, LinkSocket } from "./link_socket.ts";

/**
 * Time without received bytes after which a link is closed. Peers ping an idle
 * link at least every 5 s.
 */
const SILENCE_MAX_MS = 15_000;
/** Removed keys that a map retains. A daemon has a map for each of its links. */
const REMOVED_MAX_COUNT = 128;
/** Failure of a request whose answer cannot be sent to the peer. */
const UNDELIVERED: ForwardFailure = {
  kind: "upstream_failed",
  isNotRun: false,
  hasReached: true,
};

/** Failure of a request for whose body there is no room. */
const NO_ROOM: ForwardFailure = {
  kind: "memory_short",
  isNotRun: true,
  hasReached: false,
};

/** State and operations of the daemon that accepted links use. */
export interface LinkServerHost {
  /** Member record of this daemon. */
  readonly ownRecord: MemberRecord;
  /** State of the local upstream. */
  readonly ownState: UpstreamState;
  /** Version of this daemon's configuration in force. */
  readonly configVersion: number;
  /**
   * Time since this daemon's configuration was surely the newest, in ms; null
   * when it never was.
   */
  readonly currencyAgeMs: number | null;
  /** Reported load of the local upstream. */
  readonly ownLoad: LoadReport;
  /** Whether received frames may have waited for this process. */
  readonly isBehind: boolean;
  /**
   * Serves a request at the local upstream. The delay of its frame, in ms, is
   * undefined while it is not known.
   */
  serve(
    request: ForwardedRequest,
    receiver: ResultReceiver,
    frameDelayMs: number | undefined,
  ): RequestHandle;
  /**
   * Called with the member record in a peer's hello frame. Returns the record
   * that this daemon knows, which may have a departure that the peer has
   * forgotten in a restart.
   */
  onHello(record: MemberRecord): MemberRecord;
  /** Called with the configuration version that a peer has sent. */
  onConfigVersion(version: number, peer: ConfigPeer): void;
  /** Called with the configuration that a peer returns to a query. */
  onConfig(config: unknown): void;
  /** Configuration in force, for a peer's query; undefined before the first. */
  readonly config: unknown;
  /** Records of all known members, for a peer's query. */
  readonly members: readonly MemberRecord[];
  /** Returns whether there is room for a body that a peer would send. */
  hasRoomFor?(bodyBytes: number): boolean;
  /**
   * Called when the bytes of incomplete frames and of reservations change, by how
   * many.
   */
  onIncomplete?(changeBytes: number): void;
  /**
   * Called with a peer's message to this daemon as the owner of usage caps.
   * Returns the answer, if there is one.
   */
  onUsageAsk?(
    frame: readonly unknown[],
    peerName: string,
  ): readonly unknown[] | undefined;
  /**
   * Called with the runs that a peer's callers offer to the pool of the local
   * upstream. Returns the figures of the pool, if they are known.
   */
  onOffer?(
    frame: readonly unknown[],
    peerName: string,
  ): readonly unknown[] | undefined;
}

/** Accepting side of one link. Cancels its requests when the link closes. */
class AcceptedLink implements FrameReceiver, ConfigPeer {
  readonly #host: LinkServerHost;
  readonly #handles = new ChurnMap<number, RequestHandle>({
    removedMaxCount: REMOVED_MAX_COUNT,
  });
  readonly #onEnd: (link: AcceptedLink) => void;
  readonly #frameDelay = new MessageDelay();
  readonly #memory: FrameMemory;
  /** @inheritdoc */
  peerName = "";
  /** @inheritdoc */
  isUp = true;
  readonly socket: LinkSocket;

  constructor(
    tcp: Socket,
    host: LinkServerHost,
    onEnd: (link: AcceptedLink) => void,
  ) {
    this.#host = host;
    this.#onEnd = onEnd;
    this.#memory = new FrameMemory(
      (changeBytes) => host.onIncomplete?.(changeBytes),
    );
    this.socket = new LinkSocket(tcp, this);
    this.socket.send([FRAME.hello, host.ownRecord, host.ownState]);
  }

  /** @inheritdoc */
  onIncomplete(changeBytes: number): void {
    this.#memory.changeIncomplete(changeBytes);
  }

  /** @inheritdoc */
  onFrame(frame: unknown[]): void {
    switch (frame[0]) {
      case FRAME.request:
        return this.#onRequest(frame as RequestFrame);
      case FRAME.cancel:
        return this.#onCancel(frame[1] as number);
      case FRAME.reserve:
        return this.#onReserve(frame);
      case FRAME.runQuery:
        return this.#handles.get(frame[1] as number)?.queryRun?.();
      case FRAME.ping:
        // The version lets a peer notice a configuration that it has missed.
        this.socket.send([FRAME.configVersion, this.#host.configVersion]);
        return;
      case FRAME.configQuery:
        return this.socket.send([FRAME.config, this.#host.config ?? null]);
      case FRAME.currencyQuery: {
        const { configVersion, currencyAgeMs } = this.#host;
        const number = frame[1];
        return this.socket.send(
          [FRAME.currency, number, configVersion, currencyAgeMs],
        );
      }
      case FRAME.config:
        return this.#host.onConfig(frame[1]);
      case FRAME.usageAsk:
      case FRAME.usageHeld:
        return this.#answer(this.#host.onUsageAsk?.(frame, this.peerName));
      case FRAME.offer:
        return this.#answer(this.#host.onOffer?.(frame, this.peerName));
      case FRAME.memberQuery:
        return this.socket.send([FRAME.members, this.#host.members]);
      case FRAME.hello: {
        const [, record, state] = helloFrameSchema.parse(frame);
        this.peerName = record.name;
        this.#returnDeparture(record, this.#host.onHello(record));
        return this.#host.onConfigVersion(state.configVersion, this);
      }
      default:
        return;
    }
  }

  /** @inheritdoc */
  queryConfig(): void {
    this.socket.send([FRAME.configQuery]);
  }

  /** @inheritdoc */
  onClosed(): void {
    this.isUp = false;
    this.#handles.values().forEach((handle) => handle.cancel());
    this.#handles.clear();
    this.#memory.clear();
    this.#onEnd(this);
  }

  #answer(answer: readonly unknown[] | undefined): void {
    if (answer !== undefined) {
      this.socket.send(answer);
    }
  }

  #returnDeparture(greeted: MemberRecord, known: MemberRecord): void {
    if (greeted.leftUpstream === undefined && known.leftUpstream) {
      this.socket.send([FRAME.members, [known]]);
    }
  }

  /** Reserves room for the body of a request, or refuses the request. */
  #onReserve(frame: unknown[]): void {
    const { exchangeId, bodyBytes } = reserveFrameSchema.parse(frame);
    if (this.#host.hasRoomFor?.(bodyBytes) === false) {
      this.#sendFailure(exchangeId, NO_ROOM);
      return;
    }
    this.#memory.reserve(exchangeId, bodyBytes);
    this.socket.send([FRAME.reserved, exchangeId]);
  }

  #sendFailure(
    exchangeId: number,
    { kind, isNotRun, hasReached }: ForwardFailure,
  ): void {
    const { ownLoad, configVersion } = this.#host;
    this.socket.send([
      FRAME.refusal,
      exchangeId,
      kind,
      isNotRun,
      hasReached,
      ownLoad,
      configVersion,
    ]);
  }

  #onCancel(exchangeId: number): void {
    this.#memory.release(exchangeId);
    this.#handles.get(exchangeId)?.cancel();
    this.#handles.delete(exchangeId);
  }

  /** Time that the frame of a request has waited for, in ms, if it is known. */
  #measureDelay(frame: RequestFrame): number | undefined {
    // Field 13 is the time of the sender.
    const sentAtMs = frame[13];
    return sentAtMs === undefined
      ? undefined
      : this.#frameDelay.measure(sentAtMs, {
        nowMs: performance.now(),
        isBehind: this.#host.isBehind,
      });
  }

  #onRequest(frame: RequestFrame): void {
    const exchangeId = frame[1];
    this.#memory.release(exchangeId);
    // Field 12 is the configuration version of the sender.
    this.#host.onConfigVersion(frame[12], this);
    let isDone = false;
    const end = () => {
      isDone = true;
      this.#handles.delete(exchangeId);
    };
    const sendFailure = (failure: ForwardFailure) => {
      end();
      this.#sendFailure(exchangeId, failure);
    };
    const { encoder, decoder } = this.socket;
    const handle = this.#host.serve({
      upstreamId: decoder.decode(frame[2]),
      method: decoder.decode(frame[3]),
      path: frame[4],
      headers: decoder.decodeAll(frame[5]),
      body: frame[6],
      remainingMs: frame[7],
      routeName: decoder.decode(frame[8]),
      goalRemainingMs: frame[9],
      isRefusable: frame[10],
      callerPool: decoder.decode(frame[11]),
    }, {
      onAnswer: ({ status, headers, body, runMs }) => {
        // The peer may have no memory left for it, either.
        if (this.socket.isFull) {
          sendFailure(UNDELIVERED);
          return;
        }
        end();
        const { ownLoad, configVersion } = this.#host;
        this.socket.send([
          FRAME.answer,
          exchangeId,
          status,
          encoder.encodeAll(headers),
          body,
          Math.round(runMs),
          ownLoad,
          configVersion,
        ]);
      },
      onFailure: (failure) => sendFailure(failure),
      onRunning: (runMs) =>
        this.socket.send([FRAME.running, exchangeId, Math.round(runMs)]),
    }, this.#measureDelay(frame));
    if (!isDone) {
      this.#handles.set(exchangeId, handle);
    }
  }
}

/** Server for the links that other daemons open. */
export class LinkServer {
  readonly #server: Server;
  readonly #links = new Set<AcceptedLink>();

  /**
   * @param host State and operations of the daemon.
   * @param log Logger for listener failures.
   */
  constructor(host: LinkServerHost, log: Logger) {
    this.#server = createServer((tcp) => {
      this.#links.add(
        new AcceptedLink(tcp, host, (link) => this.#links.delete(link)),
      );
    });
    this.#server.on("error", (error) => {
      log.error("Link listener failed", { error: error.message });
    });
  }

  /**
   * Starts to listen.
   *
   * @param address Address to bind.
   * @returns The bound address.
   * @throws When the address cannot be bound.
   */
  listen(address: Address): Promise<Address> {
    return listenOn(this.#server, address);
  }

  /**
   * Sends the state of the local upstream to all connected peers.
   *
   * @param state New state.
   */
  broadcastState(state: UpstreamState): void {
    this.#broadcast([FRAME.state, state]);
  }

  /**
   * Sends the busy ratio of the local upstream to all connected peers.
   *
   * @param busyRatio Running and waiting requests per slot.
   */
  broadcastBusyRatio(busyRatio: number): void {
    this.#broadcast([FRAME.busy, Math.round(busyRatio * 100)]);
  }

  /**
   * Sends the version of the configuration in force to all connected peers.
   *
   * @param version New version.
   */
  broadcastConfigVersion(version: number): void {
    this.#broadcast([FRAME.configVersion, version]);
  }

  /**
   * Sends the record of this daemon, which has changed, to all connected peers.
   *
   * @param record New record.
   */
  broadcastOwnRecord(record: MemberRecord): void {
    this.#broadcast([FRAME.members, [record]]);
  }

  /** Number of connected peers to which frames are still to be written. */
  get unsentCount(): number {
    return [...this.#links].filter(({ socket }) => socket.hasUnsent).length;
  }

  /** Number of connected peers. */
  get linksCount(): number {
    return this.#links.size;
  }

  /**
   * Closes links on which nothing has been received for 15 s.
   *
   * @param nowMs Monotonic time, in ms.
   * @param stalledMs Time for which this process was stalled, in ms; it does
   *   not count as silence.
   */
  tick(nowMs: number, stalledMs: number): void {
    for (const link of this.#links) {
      link.socket.lastReceivedAtMs += stalledMs;
      if (nowMs - link.socket.lastReceivedAtMs > SILENCE_MAX_MS) {
        link.socket.close("The peer is silent");
      }
    }
  }

  /** Stops listening and closes all links. */
  close(): void {
    this.#server.close();
    for (const link of this.#links) {
      link.socket.close("The daemon is stopping");
    }
  }

  #broadcast(frame: readonly unknown[]): void {
    for (const link of this.#links) {
      link.socket.send(frame);
    }
  }
}
