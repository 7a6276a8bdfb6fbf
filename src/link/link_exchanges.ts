/** Exchanges of requests and results on a dialled link. */
import { type ErrorKind, isErrorKind } from "../errors/error_kinds.ts";
import {
  type AnswerFrame,
  FRAME,
  type RefusalFrame,
  type RequestFrame,
  reservedFrameSchema,
  runningFrameSchema,
} from "../schemas/link_schema.ts";
import { BodyReservations } from "./body_reservations.ts";
import type { ConfigPeer } from "./config_peer.ts";
import type { LinkHost } from "./link_host.ts";
import type { LinkSocket } from "./link_socket.ts";
import { PendingRequests } from "./pending_requests.ts";
import type {
  ForwardedRequest,
  ForwardFailure,
  RequestHandle,
  ResultReceiver,
  UpstreamLoad,
} from "./upstream_channel.ts";

/**
 * Size from which on the peer is asked for room before a body is sent, because it
 * cannot refuse a frame that it receives.
 */
const RESERVED_MIN_BYTES = 1_048_576;
/** Failure of a request that waits for room when the link closes. */
const NOT_SENT: ForwardFailure = {
  kind: "peer_failed",
  isNotRun: true,
  hasReached: false,
};

/** Options of {@link LinkExchanges}. */
export type LinkExchangesOptions = {
  /** Load of the upstream as the sender sees it. */
  load: UpstreamLoad;
  /** State and callbacks of the daemon. */
  host: LinkHost;
  /** Peer whose configuration version comes with the results. */
  peer: ConfigPeer;
  /** Returns the connection of the link; undefined without one. */
  getSocket: () => LinkSocket | undefined;
};

/** Sends requests to the peer's upstream and passes on their results. */
export class LinkExchanges {
  readonly #options: LinkExchangesOptions;
  readonly #pending: PendingRequests;
  readonly #reservations = new BodyReservations();

  /**
   * @param options Load, daemon, peer and connection.
   */
  constructor(options: LinkExchangesOptions) {
    this.#options = options;
    this.#pending = new PendingRequests(options.load);
  }

  /** Number of requests without a result. */
  get pendingCount(): number {
    return this.#pending.count;
  }

  /**
   * Sends a request.
   *
   * @param socket Connection of the link.
   * @param request The request.
   * @param receiver Receiver of its result.
   * @param options Whether the peer answers queries for room.
   * @returns Handle of the request.
   */
  send(
    socket: LinkSocket,
    request: ForwardedRequest,
    receiver: ResultReceiver,
    { reservesRoom }: { reservesRoom: boolean },
  ): RequestHandle {
    const exchangeId = this.#pending.add(receiver);
    const startedAtMs = performance.now();
    const sendRequest = () =>
      this.#sendRequest(socket, request, {
        exchangeId,
        waitedMs: performance.now() - startedAtMs,
      });
    const bodyBytes = request.body?.length ?? 0;
    if (reservesRoom && bodyBytes >= RESERVED_MIN_BYTES) {
      socket.send([FRAME.reserve, exchangeId, bodyBytes]);
      this.#reservations.add(exchangeId, sendRequest);
    } else {
      sendRequest();
    }
    return {
      cancel: () => this.#cancel(exchangeId),
      queryRun: () => this.#queryRun(exchangeId),
    };
  }

  #sendRequest(
    socket: LinkSocket,
    request: ForwardedRequest,
    { exchangeId, waitedMs }: { exchangeId: number; waitedMs: number },
  ): void {
    const { encoder } = socket;
    const frame: RequestFrame = [
      FRAME.request,
      exchangeId,
      encoder.encode(request.upstreamId),
      encoder.encode(request.method),
      request.path,
      encoder.encodeAll(request.headers),
      request.body,
      Math.round(request.remainingMs - waitedMs),
      encoder.encode(request.routeName),
      Math.round(request.goalRemainingMs - waitedMs),
      request.isRefusable,
      encoder.encode(request.callerPool),
      this.#options.host.configVersion,
      Math.round(performance.now()),
    ];
    socket.send(frame);
  }

  /** Handles the report that the peer has reserved room for a body. */
  handleReserved(frame: unknown[]): void {
    const [, exchangeId] = reservedFrameSchema.parse(frame);
    this.#reservations.grant(exchangeId);
  }

  /** Handles the answer to a request. */
  handleAnswer(frame: AnswerFrame): void {
    const { host, peer, getSocket } = this.#options;
    const [, exchangeId, status, wireHeaders, body, runMs, load, version] =
      frame;
    const headers = getSocket()?.decoder.decodeAll(wireHeaders) ?? [];
    const receiver = this.#pending.remove(exchangeId);
    this.#options.load.update(load);
    host.onConfigVersion(version, peer);
    receiver?.onAnswer({ status, headers, body, runMs });
  }

  /** Handles the refusal of a request. */
  handleRefusal(frame: RefusalFrame): void {
    const { host, peer } = this.#options;
    const [, exchangeId, kind, isNotRun, hasReached, load, version] = frame;
    this.#reservations.remove(exchangeId);
    const receiver = this.#pending.remove(exchangeId);
    this.#options.load.update(load);
    host.onConfigVersion(version, peer);
    const knownKind: ErrorKind = isErrorKind(kind) ? kind : "peer_failed";
    receiver?.onFailure({ kind: knownKind, isNotRun, hasReached });
  }

  /** Handles the report that the upstream has started a request. */
  handleRunning(frame: unknown[]): void {
    const [, exchangeId, runMs] = runningFrameSchema.parse(frame);
    this.#pending.get(exchangeId)?.onRunning?.(runMs);
  }

  /** Fails the requests without a result. */
  failAll(): void {
    for (const exchangeId of this.#reservations.clear()) {
      this.#pending.remove(exchangeId)?.onFailure(NOT_SENT);
    }
    this.#pending.failAll();
  }

  #queryRun(exchangeId: number): void {
    if (this.#pending.get(exchangeId) !== undefined) {
      this.#options.getSocket()?.send([FRAME.runQuery, exchangeId]);
    }
  }

  #cancel(exchangeId: number): void {
    this.#reservations.remove(exchangeId);
    if (this.#pending.remove(exchangeId) !== undefined) {
      this.#options.getSocket()?.send([FRAME.cancel, exchangeId]);
    }
  }
}
