/** Accepts links from other daemons and serves the requests on them. */
import { createServer, type Server, type Socket } from "node:net";
import type {
  ForwardedRequest,
  ResultReceiver,
  SentRequest,
} from "./upstream_path.ts";
import { listenOn } from "../core/listen_on.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import {
  FRAME,
  helloFrameSchema,
  type LoadReport,
  type RequestFrame,
  type UpstreamState,
} from "../schemas/link_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import { type FrameReceiver, LinkSocket } from "./link_socket.ts";

/**
 * Silence after which a link is taken for lost. Peers ping an idle link every
 * 2 s.
 */
const SILENCE_MAX_MS = 10_000;

/** Services of the daemon that accepted links use. */
export interface LinkServerHost {
  /** Entry of this daemon. */
  readonly ownRecord: MemberRecord;
  /** State of the upstream beside this daemon. */
  readonly ownState: UpstreamState;
  /** Version of this daemon's configuration in force. */
  readonly configVersion: number;
  /** Load of the upstream beside this daemon. */
  readonly ownLoad: LoadReport;
  /** Runs a request at the upstream beside this daemon. */
  serve(request: ForwardedRequest, receiver: ResultReceiver): SentRequest;
  /** Called with the entry in a peer's hello frame. */
  onHello(record: MemberRecord): void;
  /** Called with the configuration version that a peer has sent. */
  onPeerConfigVersion(version: number, peerName: string): void;
  /** Configuration in force, for a peer's query; undefined before the first. */
  readonly config: unknown;
}

/** Accepting side of one link; cancels its requests when the link closes. */
class AcceptedLink implements FrameReceiver {
  readonly #host: LinkServerHost;
  readonly #running = new Map<number, SentRequest>();
  readonly #onEnd: (link: AcceptedLink) => void;
  #peerName = "";
  readonly socket: LinkSocket;

  constructor(
    tcp: Socket,
    host: LinkServerHost,
    onEnd: (link: AcceptedLink) => void,
  ) {
    this.#host = host;
    this.#onEnd = onEnd;
    this.socket = new LinkSocket(tcp, this);
    this.socket.send([FRAME.hello, host.ownRecord, host.ownState]);
  }

  /** @inheritdoc */
  onFrame(frame: unknown[]): void {
    switch (frame[0]) {
      case FRAME.request:
        return this.#onRequest(frame as RequestFrame);
      case FRAME.cancel:
        return this.#onCancel(frame[1] as number);
      case FRAME.ping:
        return this.socket.send([FRAME.pong]);
      case FRAME.configQuery:
        return this.socket.send([FRAME.config, this.#host.config ?? null]);
      case FRAME.hello: {
        const [, record, state] = helloFrameSchema.parse(frame);
        this.#peerName = record.name;
        this.#host.onHello(record);
        return this.#host.onPeerConfigVersion(state.configVersion, record.name);
      }
      default:
        return;
    }
  }

  /** @inheritdoc */
  onClosed(): void {
    for (const sent of this.#running.values()) {
      sent.cancel();
    }
    this.#running.clear();
    this.#onEnd(this);
  }

  #onCancel(exchange: number): void {
    this.#running.get(exchange)?.cancel();
    this.#running.delete(exchange);
  }

  #onRequest(frame: RequestFrame): void {
    const exchange = frame[1];
    this.#host.onPeerConfigVersion(frame[12], this.#peerName);
    let isDone = false;
    const finish = (
      answer: (load: LoadReport, version: number) => unknown[],
    ) => {
      isDone = true;
      this.#running.delete(exchange);
      const { ownLoad, configVersion } = this.#host;
      this.socket.send(answer(ownLoad, configVersion));
    };
    const { encoder, decoder } = this.socket;
    const sent = this.#host.serve({
      upstreamId: decoder.decode(frame[2]),
      method: decoder.decode(frame[3]),
      path: frame[4],
      headers: decoder.decodeAll(frame[5]),
      body: frame[6],
      remainingMs: frame[7],
      routeName: decoder.decode(frame[8]),
      goalLeftMs: frame[9],
      isRefusable: frame[10],
      callerPool: decoder.decode(frame[11]),
    }, {
      onAnswer: ({ status, headers, body, runMs }) =>
        finish((load, version) => [
          FRAME.answer,
          exchange,
          status,
          encoder.encodeAll(headers),
          body,
          Math.round(runMs),
          load,
          version,
        ]),
      onFailure: ({ kind, isNotRun, hasReached }) =>
        finish((load, version) => [
          FRAME.refusal,
          exchange,
          kind,
          isNotRun,
          hasReached,
          load,
          version,
        ]),
    });
    if (!isDone) {
      this.#running.set(exchange, sent);
    }
  }
}

/** Server for the links that other daemons open. */
export class LinkServer {
  readonly #server: Server;
  readonly #links = new Set<AcceptedLink>();

  /**
   * @param host Services of the daemon.
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
   * Sends the state of the upstream beside this daemon to all peers.
   *
   * @param state New state.
   */
  broadcastState(state: UpstreamState): void {
    for (const link of this.#links) {
      link.socket.send([FRAME.state, state]);
    }
  }

  /**
   * Sends the load of the upstream beside this daemon to all peers.
   *
   * @param busyRatio Running and waiting requests per slot.
   */
  broadcastBusyRatio(busyRatio: number): void {
    for (const link of this.#links) {
      link.socket.send([FRAME.busy, Math.round(busyRatio * 100)]);
    }
  }

  /**
   * Closes links on which nothing has been received for 10 s.
   *
   * @param nowMs Monotonic time, in ms.
   * @param stalledMs Time for which this process was stalled, in ms; it does
   *   not count as silence.
   */
  tick(nowMs: number, stalledMs: number): void {
    for (const link of this.#links) {
      link.socket.lastReceivedMs += stalledMs;
      if (nowMs - link.socket.lastReceivedMs > SILENCE_MAX_MS) {
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
}
