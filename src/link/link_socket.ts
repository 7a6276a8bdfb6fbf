/** One TCP connection that carries frames in both directions. */
import type { Socket } from "node:net";
import { encodeFrameParts, FrameReader } from "./frame_codec.ts";
import { StringDecoder, StringEncoder } from "./string_table.ts";

/** Receives the frames of a connection, and is notified when it closes. */
export interface FrameReceiver {
  /** Called with each frame, in order. */
  onFrame(frame: unknown[]): void;
  /** Called once, when the connection has closed. */
  onClosed(reason: string): void;
  /** Called when the bytes of the incomplete frame change, by how many. */
  onIncomplete?(changeBytes: number): void;
}

/**
 * Size of a part from which on the parts are not joined, because that would copy
 * it. Small parts are joined, since each write has a cost of its own.
 */
const SEPARATE_MIN_BYTES = 65_536;
/**
 * Unsent bytes from which on no further request is sent on a connection. One
 * frame may be as large as the largest body.
 */
const CONGESTED_MIN_BYTES = 33_554_432;
/**
 * Unsent bytes from which on answers are dropped, too. Until then they are sent
 * late.
 */
const FULL_MIN_BYTES = 67_108_864;
/** Maximum unsent bytes. A connection with more is closed: its peer does not read. */
const UNSENT_MAX_BYTES = 134_217_728;

/**
 * Sends and receives frames over a socket. All frames that are sent during one
 * iteration of the event loop are written together.
 */
export class LinkSocket {
  readonly #socket: Socket;
  readonly #receiver: FrameReceiver;
  readonly #reader = new FrameReader();
  /** Encodes strings with the table of the outgoing direction. */
  readonly encoder = new StringEncoder();
  /** Decodes strings with the table of the incoming direction. */
  readonly decoder = new StringDecoder();
  #unsent: Uint8Array[] = [];
  #queuedBytes = 0;
  #isClosed = false;
  #incompleteBytes = 0;
  /** Monotonic time of the last received bytes, in ms. */
  lastReceivedAtMs = performance.now();

  /**
   * @param socket Connected or connecting socket.
   * @param receiver Receives the frames and the notification of the close.
   */
  constructor(socket: Socket, receiver: FrameReceiver) {
    this.#socket = socket;
    this.#receiver = receiver;
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("error", (error) => this.close(error.message));
    socket.on("end", () => this.close("Closed by the peer"));
    socket.on("close", () => this.close("Connection closed"));
  }

  /**
   * Sends a frame, unless the connection has closed.
   *
   * @param frame Array that one of the schemas in `link_schema.ts` describes.
   */
  send(frame: readonly unknown[]): void {
    if (this.#isClosed) {
      return;
    }
    if (this.#unsent.length === 0) {
      setImmediate(() => this.#flush());
    }
    for (const part of encodeFrameParts(frame)) {
      this.#unsent.push(part);
      this.#queuedBytes += part.length;
    }
  }

  /** Whether the operating system has not taken all frames yet. */
  get hasUnsent(): boolean {
    return !this.#isClosed && this.#unsentBytes > 0;
  }

  /** Whether the peer reads too slowly for further requests. */
  get isCongested(): boolean {
    return this.#unsentBytes > CONGESTED_MIN_BYTES;
  }

  /** Whether the peer reads too slowly for further answers. */
  get isFull(): boolean {
    return this.#unsentBytes > FULL_MIN_BYTES;
  }

  /**
   * Closes the connection and discards frames that have not been written.
   *
   * @param reason Reason for the logs.
   */
  close(reason: string): void {
    if (this.#isClosed) {
      return;
    }
    this.#isClosed = true;
    this.#socket.destroy();
    this.#countIncomplete(0);
    this.#receiver.onClosed(reason);
  }

  #flush(): void {
    const parts = this.#unsent;
    const sizeBytes = this.#queuedBytes;
    this.#unsent = [];
    this.#queuedBytes = 0;
    if (this.#isClosed) {
      return;
    }
    const [first] = parts;
    if (parts.length === 1 && first !== undefined) {
      this.#socket.write(first);
    } else if (parts.some(({ length }) => length >= SEPARATE_MIN_BYTES)) {
      this.#socket.cork();
      parts.forEach((part) => this.#socket.write(part));
      this.#socket.uncork();
    } else {
      this.#socket.write(Buffer.concat(parts, sizeBytes));
    }
    if (this.#unsentBytes > UNSENT_MAX_BYTES) {
      this.close("The peer does not read");
    }
  }

  get #unsentBytes(): number {
    return this.#queuedBytes + this.#socket.writableLength;
  }

  #receive(chunk: Buffer): void {
    this.lastReceivedAtMs = performance.now();
    try {
      this.#reader.push(chunk, (frame) => {
        if (!this.#isClosed) {
          // A request counts from now on, so its frame must not count, too.
          this.#countIncomplete(0);
          this.#receiver.onFrame(frame);
        }
      });
      if (!this.#isClosed) {
        this.#countIncomplete(this.#reader.incompleteBytes);
      }
    } catch (error) {
      this.close((error as Error).message);
    }
  }

  #countIncomplete(bytes: number): void {
    const changeBytes = bytes - this.#incompleteBytes;
    if (changeBytes !== 0) {
      this.#incompleteBytes = bytes;
      this.#receiver.onIncomplete?.(changeBytes);
    }
  }
}
