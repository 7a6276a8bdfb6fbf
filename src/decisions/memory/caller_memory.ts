/** Account of the bytes that a process holds for its callers. */
import { chooseEvicted } from "./eviction_order.ts";

/**
 * Part of the bound that bodies may take while they are received, however much
 * is held for other reasons. Callers with small bodies are then served while
 * others read large answers slowly.
 */
const RECEIVING_MIN_RATIO = 0.25;
/**
 * Ratio of the bound to the largest body. A single one is then received while
 * small requests are.
 */
const LARGEST_BODY_FACTOR = 1.125;

/**
 * Rate at which the bytes of bodies that were refused are assumed to be
 * collected, per ms. Until then they take memory, which a crowd of bodies
 * without an announced length would exhaust although each of them is refused.
 */
const COLLECTED_BYTES_PER_MS = 65_536;

/** A caller whose request body is received. */
export interface ReceivedCaller {
  /** Bytes that its request takes besides the body. */
  readonly requestBytes: number;
  /** Bytes that are held or announced; written by {@link CallerMemory} only. */
  claimBytes: number;
  /** Bytes that have arrived; written by {@link CallerMemory} only. */
  receivedBytes: number;
  /** Monotonic time of the last bytes, in ms. */
  progressAtMs: number;
  /**
   * Refuses the caller, which has not been forwarded; its bytes are released
   * while this is called.
   */
  evict(): void;
}

/**
 * Counts the bytes that are held for all callers. When there are too many,
 * callers whose requests have not been forwarded are refused. A body with an
 * announced length counts as a whole from the beginning, so that a crowd of
 * large bodies is refused early and those that are admitted are completed. The
 * head of its request counts with it, so that a crowd of large heads without
 * their bodies is refused, too.
 *
 * @example
 * const memory = new CallerMemory(75_000_000);
 * memory.start(caller, { announcedBytes: 60_000, nowMs });
 * memory.add(caller, chunk.length, nowMs);
 * memory.forward(caller);
 * memory.end(caller, nowMs);
 */
export class CallerMemory {
  readonly #derivedMaxBytes: number;
  readonly #receiving = new Set<ReceivedCaller>();
  readonly #forwarded = new Set<ReceivedCaller>();
  #maxBytes: number;
  #receivingBytes = 0;
  #otherBytes = 0;
  #uncollectedBytes = 0;
  #uncollectedAtMs = 0;

  /**
   * @param maxBytes Maximum number of bytes that are held for callers.
   */
  constructor(maxBytes: number) {
    this.#derivedMaxBytes = maxBytes;
    this.#maxBytes = maxBytes;
  }

  /** Bytes that are held or announced. */
  get heldBytes(): number {
    return this.#receivingBytes + this.#otherBytes;
  }

  /** Maximum number of bytes that are held. */
  get maxBytes(): number {
    return this.#maxBytes;
  }

  /** Callers whose bodies are being received, oldest first. */
  get receiving(): Iterable<ReceivedCaller> {
    return this.#receiving;
  }

  /** Whether more is held than callers that can be refused could release. */
  get isFull(): boolean {
    return this.#otherBytes > this.#maxBytes;
  }

  /**
   * Returns whether more bytes fit, if callers that can be refused are.
   *
   * @param bytes Number of the bytes.
   * @returns False when they would exceed the bound.
   */
  hasRoomFor(bytes: number): boolean {
    return this.#otherBytes + bytes <= this.#maxBytes;
  }

  /**
   * Sets the largest permitted body. The bound is at least so large that one is
   * received.
   *
   * @param bodyMaxBytes Size of the largest body.
   */
  setLargestBody(bodyMaxBytes: number): void {
    this.#maxBytes = Math.max(
      this.#derivedMaxBytes,
      bodyMaxBytes * LARGEST_BODY_FACTOR,
    );
  }

  /**
   * Counts a caller whose body begins. Callers are refused if it does not fit,
   * which may be this one.
   *
   * @param caller Caller.
   * @param options Announced size of the body, 0 if it is not known, and the
   *   monotonic time in ms.
   */
  start(
    caller: ReceivedCaller,
    { announcedBytes, nowMs }: { announcedBytes: number; nowMs: number },
  ): void {
    caller.claimBytes = caller.requestBytes + announcedBytes;
    caller.receivedBytes = 0;
    caller.progressAtMs = nowMs;
    this.#receiving.add(caller);
    this.#receivingBytes += caller.claimBytes;
    this.#evictExcess(nowMs);
  }

  /**
   * Counts bytes of a body that is being received.
   *
   * @param caller Caller that was started.
   * @param bytes Number of the bytes.
   * @param nowMs Monotonic time, in ms.
   */
  add(caller: ReceivedCaller, bytes: number, nowMs: number): void {
    caller.progressAtMs = nowMs;
    caller.receivedBytes += bytes;
    const growthBytes = caller.requestBytes + caller.receivedBytes -
      caller.claimBytes;
    if (growthBytes <= 0) {
      return;
    }
    caller.claimBytes += growthBytes;
    this.#receivingBytes += growthBytes;
    this.#evictExcess(nowMs);
  }

  /**
   * Records that the request of a caller is forwarded. It is not refused any
   * more.
   *
   * @param caller Caller whose body is complete.
   */
  forward(caller: ReceivedCaller): void {
    if (this.#receiving.delete(caller)) {
      this.#receivingBytes -= caller.claimBytes;
      this.#forwarded.add(caller);
      this.#otherBytes += caller.claimBytes;
    }
  }

  /**
   * Releases the bytes of a caller.
   *
   * @param caller Caller; nothing happens if it was released before.
   * @param nowMs Monotonic time, in ms.
   */
  end(caller: ReceivedCaller, nowMs: number): void {
    if (this.#receiving.delete(caller)) {
      this.#receivingBytes -= caller.claimBytes;
      this.#collect(nowMs);
      this.#uncollectedBytes += caller.requestBytes + caller.receivedBytes;
    } else if (this.#forwarded.delete(caller)) {
      this.#otherBytes -= caller.claimBytes;
    }
  }

  /**
   * Counts bytes that cannot be released by a refusal, like those of an answer.
   *
   * @param bytes Number of the bytes; {@link release} must be called with it.
   */
  hold(bytes: number): void {
    this.#otherBytes += bytes;
  }

  /**
   * Releases bytes that were held.
   *
   * @param bytes Number of the bytes.
   */
  release(bytes: number): void {
    this.#otherBytes -= bytes;
  }

  #evictExcess(nowMs: number): void {
    const uncollectedBytes = this.#collect(nowMs);
    const excessBytes = Math.min(
      this.heldBytes + uncollectedBytes - this.#maxBytes,
      this.#receivingBytes - this.#maxBytes * RECEIVING_MIN_RATIO,
    );
    if (excessBytes <= 0) {
      return;
    }
    for (
      const caller of chooseEvicted(this.#receiving, { excessBytes, nowMs })
    ) {
      this.end(caller, nowMs);
      caller.evict();
    }
  }

  /** Returns the bytes of refused bodies that are still assumed to be held. */
  #collect(nowMs: number): number {
    const collectedBytes = (nowMs - this.#uncollectedAtMs) *
      COLLECTED_BYTES_PER_MS;
    this.#uncollectedAtMs = nowMs;
    this.#uncollectedBytes = Math.max(
      0,
      this.#uncollectedBytes - collectedBytes,
    );
    return this.#uncollectedBytes;
  }
}
