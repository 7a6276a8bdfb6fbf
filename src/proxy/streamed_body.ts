/** Request body that is forwarded while it is received. */
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { BodyBuffer } from "../core/body_buffer.ts";
import { continueReading, stopReading } from "../core/stop_reading.ts";
import { hasTooManyChunks } from "../decisions/memory/chunk_allowance.ts";
import type { CostlyBodies } from "../decisions/memory/costly_bodies.ts";
import { RelayError } from "../errors/relay_error.ts";
import {
  BODY_IDLE_MAX_MS,
  CHUNKS_CHECK_COUNT,
} from "../reception/body_reception.ts";

/** Bytes that wait for the reader, from which on no more are received. */
const PENDING_MAX_BYTES = 65_536;

/** Why a body that is forwarded is not received to its end. */
export type StreamBreak =
  | "body_too_large"
  | "body_timeout"
  | "chunks_too_small";

/** Options of {@link StreamedBody}. */
export type StreamedBodyOptions = {
  /** Largest permitted body, in bytes. */
  bodyMaxBytes: number;
  costlyBodies: CostlyBodies;
  /** Called when this daemon does not receive the body to its end. */
  onBroken: (kind: StreamBreak) => void;
};

/**
 * Passes the body of a request on. The chunks of one read are joined, because
 * the memory and time that each chunk of one byte takes in the queue of a stream
 * are those of many bytes. A part of the body may have reached the upstream, so
 * a body that breaks never counts as not run: it fails with the outcome
 * `unknown`, or its connection is closed without an answer.
 */
export class StreamedBody extends Readable {
  readonly #message: IncomingMessage;
  readonly #options: StreamedBodyOptions;
  readonly #startedAtMs = performance.now();
  readonly #pending = new BodyBuffer();
  #reading: "reading" | "stopping" | "stopped" | "ended" = "reading";
  #isWanted = false;
  #isDeliveryQueued = false;
  #chunksCount = 0;
  /** Bytes that have arrived. */
  receivedBytes = 0;
  /** Monotonic time of the last bytes that arrived or were read, in ms. */
  progressAtMs = this.#startedAtMs;

  /**
   * @param message Request whose body is received.
   * @param options Bounds and callback.
   */
  constructor(message: IncomingMessage, options: StreamedBodyOptions) {
    super({ highWaterMark: PENDING_MAX_BYTES });
    this.#message = message;
    this.#options = options;
    // A body may fail before it has a reader, or after its reader has gone.
    this.on("error", () => {});
  }

  /**
   * Starts to receive.
   *
   * @param parts Bytes that have been received before.
   */
  start(parts: readonly Buffer[]): void {
    parts.forEach((part) => this.#receive(part));
    this.#message.on("data", (chunk: Buffer) => this.#receive(chunk));
    this.#message.on("end", () => this.#complete());
    this.#message.on("close", () => {
      if (!this.#message.complete) {
        this.destroy(new Error("The caller disconnected"));
      }
    });
  }

  /** Stops receiving, at the end of the request. */
  end(): void {
    this.#options.costlyBodies.delete(this);
    this.destroy();
  }

  /**
   * Closes the connection if no byte has arrived for too long.
   *
   * @param nowMs Monotonic time, in ms.
   */
  checkProgress(nowMs: number): void {
    const isAwaited = this.#reading === "reading" && this.#isWanted;
    if (isAwaited && nowMs - this.progressAtMs > BODY_IDLE_MAX_MS) {
      this.#close("body_timeout");
    }
  }

  /** @inheritdoc */
  override _read(): void {
    this.#isWanted = true;
    this.progressAtMs = performance.now();
    this.#deliver();
  }

  /** @inheritdoc */
  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    // The rest of the body is discarded, because a paused request may still
    // queue what is read, until its answer closes the connection.
    if (this.#reading !== "ended") {
      this.#reading = "ended";
      continueReading(this.#message);
    }
    this.#pending.clear();
    callback(error);
  }

  #receive(chunk: Buffer): void {
    if (this.destroyed) {
      return;
    }
    this.receivedBytes += chunk.length;
    this.progressAtMs = performance.now();
    if (this.receivedBytes > this.#options.bodyMaxBytes) {
      this.#options.onBroken("body_too_large");
      const message = `Body exceeds ${this.#options.bodyMaxBytes} bytes`;
      const outcome = "unknown";
      this.destroy(new RelayError("body_too_large", message, { outcome }));
      return;
    }
    this.#pending.push(chunk);
    this.#chunksCount++;
    if (this.#chunksCount % CHUNKS_CHECK_COUNT === 0) {
      this.#checkChunks();
    }
    if (this.#pending.sizeBytes >= PENDING_MAX_BYTES) {
      this.#stop();
    }
    if (!this.#isDeliveryQueued) {
      this.#isDeliveryQueued = true;
      // Runs after all chunks of the present read.
      queueMicrotask(() => {
        this.#isDeliveryQueued = false;
        this.#deliver();
      });
    }
  }

  /** Reads a body with too many small chunks in turns with other work. */
  #checkChunks(): void {
    const nowMs = this.progressAtMs;
    const isCostly = hasTooManyChunks({
      count: this.#chunksCount,
      sizeBytes: this.receivedBytes,
      elapsedMs: nowMs - this.#startedAtMs,
    });
    if (!isCostly) {
      return;
    }
    if (this.#options.costlyBodies.admit(this, nowMs)) {
      this.#stop();
    } else {
      this.#close("chunks_too_small");
    }
  }

  #complete(): void {
    this.#reading = "ended";
    this.#options.costlyBodies.delete(this);
    this.#deliver();
  }

  #deliver(): void {
    if (this.destroyed || !this.#isWanted) {
      return;
    }
    if (this.#pending.sizeBytes > 0) {
      this.#isWanted = false;
      const bytes = this.#pending.concat();
      this.#pending.clear();
      this.push(bytes);
    }
    if (this.#reading === "ended" && this.#pending.sizeBytes === 0) {
      this.push(null);
    } else if (this.#reading === "stopped") {
      this.#reading = "reading";
      continueReading(this.#message);
    }
  }

  #stop(): void {
    if (this.#reading !== "reading") {
      return;
    }
    this.#reading = "stopping";
    stopReading(this.#message);
    setImmediate(() => {
      if (this.#reading !== "stopping") {
        // The body ended with the last read, and a request may follow it.
        continueReading(this.#message);
        return;
      }
      this.#reading = "stopped";
      this.#deliver();
    });
  }

  /** Closes the connection, since no answer is known to be true. */
  #close(kind: StreamBreak): void {
    this.#options.onBroken(kind);
    this.#message.socket.destroy();
    // The rest of the present read is still delivered.
    this.destroy(new Error("The connection of the body was closed"));
  }
}
