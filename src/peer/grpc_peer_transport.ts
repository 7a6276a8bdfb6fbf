/** Exchange of control messages between daemons over gRPC. */
import { randomBytes } from "node:crypto";
import {
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import VError from "verror";
import type { z } from "zod";
import type { Clock } from "../core/clock.ts";
import {
  PeerError,
  type PeerFailure,
  type PeerHandler,
  type PeerIdentity,
  type PeerMethod,
  type PeerRequestOptions,
  type PeerTransport,
} from "../core/peer_transport.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { EnvelopeHead } from "../schemas/peer_schema.ts";
import { ChannelCache, type PeerChannel } from "./channel_cache.ts";
import { codecOf } from "./body_codec.ts";
import { signEnvelope, verifyEnvelope } from "./envelope.ts";
import type { KeyRing } from "./key_ring.ts";
import {
  RejectedMessageError,
  type RejectionReason,
} from "./rejected_message_error.ts";

const SERVICE_PATH = "/goldcrestrelay.Peer";

/** Options of {@link GrpcPeerTransport}. */
export type GrpcPeerTransportOptions = {
  /** Returns this daemon's identity; its incarnation may increase at run time. */
  identity: () => PeerIdentity;
  keys: KeyRing;
  clock: Clock;
  /** Called for each request or answer that this daemon rejects. */
  onRejected?: (reason: RejectionReason) => void;
  /** Time after which an unused connection is closed, in ms. */
  idleMs?: number;
};

type AnyMethod = PeerMethod<z.ZodType, z.ZodType>;
type AnyHandler = PeerHandler<z.ZodType, z.ZodType>;
type ReplyCallback = sendUnaryData<Buffer>;

function passThrough(bytes: Buffer): Buffer {
  return bytes;
}

function classifyFailure(error: ServiceError): PeerFailure {
  switch (error.code) {
    case status.DEADLINE_EXCEEDED:
      return "timeout";
    case status.UNAVAILABLE:
      return error.details.includes("ECONNREFUSED") ? "refused" : "broken";
    case status.PERMISSION_DENIED:
    case status.INVALID_ARGUMENT:
    case status.UNIMPLEMENTED:
      return "rejected";
    default:
      return "broken";
  }
}

function rejectionCode(reason: RejectionReason): status {
  return reason === "schema" || reason === "malformed"
    ? status.INVALID_ARGUMENT
    : status.PERMISSION_DENIED;
}

/**
 * Transport with one generic unary gRPC method for each {@link PeerMethod}.
 * Bodies are checked against the method's schemas, packed by msgpackr and signed.
 *
 * The target of a request is the instance that last answered at the address, so
 * that a recorded request cannot be replayed to another daemon. It is empty
 * until the first answer, and after the peer rejected a request, so that the next
 * one reaches whichever instance now has the address.
 *
 * @example
 * const transport = new GrpcPeerTransport({ identity, keys, clock });
 * transport.serve(PROBE, (request, from) => membership.answerProbe(request, from));
 * const address = await transport.listen(settings.listeners.peer);
 * await transport.close();
 */
export class GrpcPeerTransport implements PeerTransport {
  readonly #options: GrpcPeerTransportOptions;
  readonly #channels: ChannelCache;
  // Channelz stays enabled: without it `forceShutdown` of @grpc/grpc-js 1.14
  // does not track the sessions and leaves the connections open.
  readonly #server = new Server();

  /**
   * @param options Identity, keys, clock and callback for rejected messages.
   */
  constructor(options: GrpcPeerTransportOptions) {
    this.#options = options;
    this.#channels = new ChannelCache({ idleMs: options.idleMs });
  }

  /** Number of cached connections for outgoing requests. */
  get openChannelsCount(): number {
    return this.#channels.openCount;
  }

  /**
   * Starts serving requests of peers.
   *
   * @param address Address to listen at; port 0 lets the system choose.
   * @returns Address with the port in use.
   * @throws {VError} When the address cannot be bound.
   */
  listen(address: Address): Promise<Address> {
    const host = address.host.includes(":")
      ? `[${address.host}]`
      : address.host;
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(
        `${host}:${address.port}`,
        ServerCredentials.createInsecure(),
        (error, port) => {
          if (error !== null) {
            reject(new VError(error, "Cannot listen at %s", host));
            return;
          }
          resolve({ host: address.host, port });
        },
      );
    });
  }

  /** Stops serving, ends all connections and closes all clients. */
  close(): Promise<void> {
    this.#channels.closeAll();
    this.#server.forceShutdown();
    return Promise.resolve();
  }

  /** @inheritdoc */
  serve<Q extends z.ZodType, A extends z.ZodType>(
    method: PeerMethod<Q, A>,
    handler: PeerHandler<Q, A>,
  ): void {
    const added = this.#server.register<Buffer, Buffer>(
      `${SERVICE_PATH}/${method.name}`,
      (call: ServerUnaryCall<Buffer, Buffer>, reply: ReplyCallback) => {
        this.#handleRequest(method, handler as AnyHandler, call.request)
          .then((answer) => reply(null, answer))
          .catch((error: unknown) => this.#replyError(error, reply));
      },
      passThrough,
      passThrough,
      "unary",
    );
    if (!added) {
      throw new VError('Method "%s" already has a handler', method.name);
    }
  }

  /** @inheritdoc */
  async request<Q extends z.ZodType, A extends z.ZodType>(
    address: Address,
    call: { method: PeerMethod<Q, A>; body: z.infer<Q> },
    options: PeerRequestOptions,
  ): Promise<z.infer<A>> {
    const { method, body } = call;
    const channel = this.#channels.open(address);
    const requestId = randomBytes(9).toString("base64url");
    const codec = codecOf(method.request);
    const message = signEnvelope(
      this.#createHead(method.name, {
        direction: "request",
        fingerprint: codec.fingerprint,
        target: channel.instanceId,
        requestId,
      }),
      codec.pack(body),
      { keys: this.#options.keys },
    );
    const reply = await this.#sendRequest(address, {
      channel,
      path: `${SERVICE_PATH}/${method.name}`,
      message,
      timeoutMs: options.timeoutMs,
    });
    return this.#verifyAnswer(reply, { method, requestId, channel });
  }

  #createHead(
    method: string,
    fields: Omit<
      EnvelopeHead,
      "version" | "keyId" | "method" | "from" | "sentEpochMs"
    >,
  ): Omit<EnvelopeHead, "version" | "keyId"> {
    return {
      ...fields,
      method,
      from: this.#options.identity(),
      sentEpochMs: this.#options.clock.wallMs(),
    };
  }

  #sendRequest(
    address: Address,
    request: {
      channel: PeerChannel;
      path: string;
      message: Buffer;
      timeoutMs: number;
    },
  ): Promise<Buffer> {
    const { channel, path, message, timeoutMs } = request;
    return new Promise((resolve, reject) => {
      channel.client.makeUnaryRequest(
        path,
        passThrough,
        passThrough,
        message,
        { deadline: Date.now() + timeoutMs },
        (error, reply) => {
          if (error !== null) {
            reject(this.#handleFailure(address, channel, error));
            return;
          }
          channel.consecutiveTimeoutsCount = 0;
          resolve(reply as Buffer);
        },
      );
    });
  }

  /**
   * Updates the cached client after a failure, and returns the error to throw.
   */
  #handleFailure(
    address: Address,
    channel: PeerChannel,
    error: ServiceError,
  ): PeerError {
    const failure = classifyFailure(error);
    if (failure === "timeout") {
      this.#channels.countTimeout(address);
    }
    if (failure === "refused" || failure === "broken") {
      // During its reconnection back-off, a client fails all requests with the
      // last error; a new client connects at once.
      this.#channels.drop(address);
    }
    if (failure === "rejected") {
      channel.instanceId = "";
    }
    return new PeerError(failure, error.details);
  }

  #verifyAnswer<A extends z.ZodType>(
    reply: Buffer,
    expected: {
      method: PeerMethod<z.ZodType, A>;
      requestId: string;
      channel: PeerChannel;
    },
  ): z.infer<A> {
    const { method, requestId, channel } = expected;
    try {
      const { head, body } = this.#verifyMessage(reply, method, "answer");
      if (head.requestId !== requestId) {
        throw new RejectedMessageError("target", "Answer of another request");
      }
      const answer = codecOf(method.answer).unpack(body);
      channel.instanceId = head.from.instanceId;
      return answer;
    } catch (error) {
      if (error instanceof RejectedMessageError) {
        this.#options.onRejected?.(error.reason);
        throw new PeerError("rejected", error.message);
      }
      throw error;
    }
  }

  #verifyMessage(
    bytes: Buffer,
    method: AnyMethod,
    direction: EnvelopeHead["direction"],
  ): { head: EnvelopeHead; body: Uint8Array } {
    const { keys, clock, identity } = this.#options;
    const verified = verifyEnvelope(bytes, { keys, wallMs: clock.wallMs() });
    const { head } = verified;
    const isAddressedHere = head.target === "" ||
      head.target === identity().instanceId;
    if (
      !isAddressedHere || head.method !== method.name ||
      head.direction !== direction
    ) {
      throw new RejectedMessageError(
        "target",
        `Message is for ${direction} "${head.method}" of "${head.target}"`,
      );
    }
    const codec = codecOf(method[direction]);
    if (head.fingerprint !== codec.fingerprint) {
      throw new RejectedMessageError(
        "version",
        `Body of ${direction} "${head.method}" has other fields`,
      );
    }
    return verified;
  }

  async #handleRequest(
    method: AnyMethod,
    handler: AnyHandler,
    bytes: Buffer,
  ): Promise<Buffer> {
    const { head, body } = this.#verifyMessage(bytes, method, "request");
    const request = codecOf(method.request).unpack(body);
    const answer = await handler(request, head.from);
    const codec = codecOf(method.answer);
    return signEnvelope(
      this.#createHead(method.name, {
        direction: "answer",
        fingerprint: codec.fingerprint,
        target: head.from.instanceId,
        requestId: head.requestId,
      }),
      codec.pack(answer),
      { keys: this.#options.keys },
    );
  }

  #replyError(error: unknown, reply: ReplyCallback): void {
    if (error instanceof RejectedMessageError) {
      this.#options.onRejected?.(error.reason);
      const code = rejectionCode(error.reason);
      reply({ code, details: `Rejected (${error.reason}): ${error.message}` });
      return;
    }
    const details = error instanceof Error ? error.message : String(error);
    reply({ code: status.INTERNAL, details });
  }
}
