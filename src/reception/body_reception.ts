/** Receives the body of one request, within the bounds of the process. */
import type { IncomingMessage } from "node:http";
import { BodyBuffer } from "../core/body_buffer.ts";
import { continueReading, stopReading } from "../core/stop_reading.ts";
import { hasTooManyChunks } from "../decisions/memory/chunk_allowance.ts";
import type {
  CallerMemory,
  ReceivedCaller,
} from "../decisions/memory/caller_memory.ts";
import type { CostlyBodies } from "../decisions/memory/costly_bodies.ts";
import { requestBytesOf } from "../decisions/memory/request_memory.ts";
import { announcedBytesOf } from "./announced_body.ts";

/** Chunks after which their number is checked again. */
export const CHUNKS_CHECK_COUNT = 256;
/**
 * Time without a byte after which a body is ended, in ms. A caller within the
 * limits sends at least some bytes in this time, also over a lossy network.
 */
export const BODY_IDLE_MAX_MS = 60_000;

/** Bodies with many small chunks that are received at the same time. */
export const COSTLY_BODIES_MAX_COUNT = 2;
/** Interval at which the progress of bodies is checked, in ms. */
export const PROGRESS_CHECK_MS = 1_000;

/** Error kinds of a body that is not received. */
export type BodyRefusal =
  | "body_too_large"
  | "body_timeout"
  | "memory_short"
  | "chunks_too_small";

/** Options of {@link BodyReception}. */
export type BodyReceptionOptions = {
  memory: CallerMemory;
  costlyBodies: CostlyBodies;
  /** Largest permitted body. */
  bodyMaxBytes: number;
  /** Size from which on a body is not collected; only with `onLarge`. */
  collectedMaxBytes?: number;
  /**
   * Called with the bytes so far when the body has more than are collected.
   * Nothing is called after that, and the next bytes are not received.
   */
  onLarge?: (parts: Buffer[]) => void;
  /** Called with the complete body; null for an empty one. */
  onComplete: (body: Uint8Array | null) => void;
  /**
   * Called when the body is not received. Nothing is called after that, and
   * reading may be stopped.
   */
  onRefused: (kind: BodyRefusal) => void;
};

/** Collects the body of one request until it is complete or refused. */
export class BodyReception implements ReceivedCaller {
  readonly #message: IncomingMessage;
  readonly #options: BodyReceptionOptions;
  #body = new BodyBuffer();
  #state: "receiving" | "complete" | "ended" = "receiving";
  #chunksCount = 0;
  /** Whether reading continues in the next iteration of the event loop. */
  #isWaiting = false;
  #isRefused = false;
  #startedAtMs = performance.now();
  /** @inheritdoc */
  readonly requestBytes: number;
  /** @inheritdoc */
  claimBytes = 0;
  /** @inheritdoc */
  receivedBytes = 0;
  /** @inheritdoc */
  progressAtMs = this.#startedAtMs;

  /**
   * @param message Request whose head has been received.
   * @param options Bounds and callbacks.
   */
  constructor(message: IncomingMessage, options: BodyReceptionOptions) {
    this.#message = message;
    this.#options = options;
    this.requestBytes = requestBytesOf(message);
  }

  /**
   * Starts to receive. The body is refused at once if its announced size is
   * over the limit, or if there is no memory for it.
   */
  start(): void {
    const announcedBytes = announcedBytesOf(this.#message);
    if (announcedBytes > this.#options.bodyMaxBytes) {
      this.#refuse("body_too_large");
      return;
    }
    this.#message.on("data", (chunk: Buffer) => this.#receive(chunk));
    this.#message.on("end", () => this.#complete());
    this.#options.memory.start(this, {
      announcedBytes,
      nowMs: this.#startedAtMs,
    });
    if (this.#state === "receiving") {
      this.#body = new BodyBuffer({ expectedBytes: announcedBytes });
    }
  }

  /** @inheritdoc */
  evict(): void {
    this.#refuse("memory_short");
  }

  /**
   * Refuses the body if no byte has arrived for too long.
   *
   * @param nowMs Monotonic time, in ms.
   */
  checkProgress(nowMs: number): void {
    if (nowMs - this.progressAtMs > BODY_IDLE_MAX_MS) {
      this.#refuse("body_timeout");
    }
  }

  /** Refuses the body because its request cannot be served in time any more. */
  expire(): void {
    this.#refuse("body_timeout");
  }

  /** Releases the memory, at the end of the request. */
  end(): void {
    this.#state = "ended";
    this.#body.clear();
    this.#options.memory.end(this, performance.now());
    this.#options.costlyBodies.delete(this);
  }

  #receive(chunk: Buffer): void {
    if (this.#state !== "receiving") {
      return;
    }
    if (this.#body.sizeBytes + chunk.length > this.#options.bodyMaxBytes) {
      this.#refuse("body_too_large");
      return;
    }
    const { collectedMaxBytes = Infinity, onLarge } = this.#options;
    if (this.#body.sizeBytes + chunk.length > collectedMaxBytes) {
      const parts = [this.#body.concat(), chunk];
      this.end();
      onLarge?.(parts);
      return;
    }
    const nowMs = performance.now();
    this.#body.push(chunk);
    this.#chunksCount++;
    this.#options.memory.add(this, chunk.length, nowMs);
    if (this.#chunksCount % CHUNKS_CHECK_COUNT === 0) {
      this.#checkChunks(nowMs);
    }
  }

  /**
   * Bounds the work for small chunks in one iteration of the event loop: a body
   * with too many is read in turns with other work, and refused while there are
   * others like it.
   */
  #checkChunks(nowMs: number): void {
    const isCostly = this.#state === "receiving" && hasTooManyChunks({
      count: this.#chunksCount,
      sizeBytes: this.#body.sizeBytes,
      elapsedMs: nowMs - this.#startedAtMs,
    });
    if (!isCostly) {
      return;
    }
    if (!this.#options.costlyBodies.admit(this, nowMs)) {
      this.#refuse("chunks_too_small");
      return;
    }
    if (!this.#isWaiting) {
      this.#isWaiting = true;
      const message = this.#message;
      stopReading(message);
      setImmediate(() => {
        this.#isWaiting = false;
        if (!this.#isRefused) {
          continueReading(message);
        }
      });
    }
  }

  #complete(): void {
    if (this.#state !== "receiving") {
      return;
    }
    this.#state = "complete";
    const { memory, costlyBodies, onComplete } = this.#options;
    costlyBodies.delete(this);
    memory.forward(this);
    const body = this.#body.sizeBytes === 0 ? null : this.#body.concat();
    this.#body.clear();
    onComplete(body);
  }

  #refuse(kind: BodyRefusal): void {
    if (this.#state !== "receiving") {
      return;
    }
    this.#isRefused = true;
    this.end();
    this.#options.onRefused(kind);
  }
}
