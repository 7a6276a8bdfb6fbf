/** One TCP connection that carries frames in both directions. */
import type { Socket } from "node:net";
import { encodeFrame, FrameReader } from "./frame_codec.ts";
import { StringDecoder, StringEncoder } from "./string_table.ts";

/** Receives the frames of a connection, and is notified when it closes. */
export interface FrameReceiver {
  /** Called with each frame, in order. */
  onFrame(frame: unknown[]): void;
  /** Called once, when the connection has closed. */
  onClosed(reason: string): void;
}

/**
 * Maximum unsent bytes. A connection with more is closed: its peer does not
 * read.
 */
const UNSENT_MAX_BYTES = 33_554_432;

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
  #unsent: Buffer[] = [];
  #isClosed = false;
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
    if (this.#unsent.push(encodeFrame(frame)) === 1) {
      setImmediate(() => this.#flush());
    }
  }

  /** Whether the operating system has not taken all frames yet. */
  get hasUnsent(): boolean {
    return !this.#isClosed &&
      (this.#unsent.length > 0 || this.#socket.writableLength > 0);
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
    this.#receiver.onClosed(reason);
  }

  #flush(): void {
    const frames = this.#unsent;
    this.#unsent = [];
    if (this.#isClosed) {
      return;
    }
    const [first] = frames;
    this.#socket.write(
      frames.length === 1 ? first as Buffer : Buffer.concat(frames),
    );
    if (this.#socket.writableLength > UNSENT_MAX_BYTES) {
      this.close("The peer does not read");
    }
  }

  #receive(chunk: Buffer): void {
    this.lastReceivedAtMs = performance.now();
    try {
      this.#reader.push(chunk, (frame) => {
        if (!this.#isClosed) {
          this.#receiver.onFrame(frame);
        }
      });
    } catch (error) {
      this.close((error as Error).message);
    }
  }
}
