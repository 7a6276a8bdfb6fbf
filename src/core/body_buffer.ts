/** Buffer for a body that arrives in chunks. */

/** Shorter chunks are copied, since each buffer has a cost of its own. */
const COPIED_MAX_BYTES = 1_024;
/** Maximum size of the blocks into which chunks are copied. */
const BLOCK_MAX_BYTES = 65_536;
const NO_BLOCK = Buffer.alloc(0);

/**
 * Collects the chunks of a body. The memory that it uses is proportional to the
 * bytes of the body and does not depend on the number of chunks.
 *
 * @example
 * const body = new BodyBuffer();
 * message.on("data", (chunk) => body.push(chunk));
 * message.on("end", () => handle(body.concat()));
 */
export class BodyBuffer {
  #buffers: Buffer[] = [];
  #block: Buffer = NO_BLOCK;
  #blockUsedBytes = 0;
  #sizeBytes = 0;
  /** Whether the block has room for the whole body. */
  readonly #isWhole: boolean = false;

  /**
   * @param options Size of the body, if it is announced and within the limits.
   *   The chunks of a large one are copied as they arrive, so that it is not in
   *   memory twice when it is complete.
   */
  constructor({ expectedBytes = 0 }: { expectedBytes?: number } = {}) {
    if (expectedBytes > BLOCK_MAX_BYTES) {
      this.#block = Buffer.allocUnsafeSlow(expectedBytes);
      this.#isWhole = true;
    }
  }

  /** Number of collected bytes. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /**
   * Appends a chunk, which must not change afterwards.
   *
   * @param chunk Next bytes of the body.
   */
  push(chunk: Buffer): void {
    if (this.#isWhole) {
      this.#copy(chunk);
    } else if (this.#sizeBytes === 0 || chunk.length > COPIED_MAX_BYTES) {
      this.#endBlock();
      this.#buffers.push(chunk);
    } else {
      this.#copy(chunk);
    }
    this.#sizeBytes += chunk.length;
  }

  /**
   * Joins the chunks.
   *
   * @returns The whole body.
   */
  concat(): Buffer {
    this.#endBlock();
    const [first] = this.#buffers;
    return first !== undefined && this.#buffers.length === 1
      ? first
      : Buffer.concat(this.#buffers, this.#sizeBytes);
  }

  /** Discards all chunks. */
  clear(): void {
    this.#buffers = [];
    this.#block = NO_BLOCK;
    this.#blockUsedBytes = 0;
    this.#sizeBytes = 0;
  }

  /** Copies a chunk into the current block, or into a new one if it is full. */
  #copy(chunk: Buffer): void {
    if (this.#block.length - this.#blockUsedBytes < chunk.length) {
      this.#endBlock();
      const sizeBytes = Math.max(this.#sizeBytes, COPIED_MAX_BYTES);
      this.#block = Buffer.allocUnsafe(Math.min(sizeBytes, BLOCK_MAX_BYTES));
    }
    this.#blockUsedBytes += chunk.copy(this.#block, this.#blockUsedBytes);
  }

  #endBlock(): void {
    if (this.#blockUsedBytes > 0) {
      this.#buffers.push(this.#block.subarray(0, this.#blockUsedBytes));
    }
    this.#block = NO_BLOCK;
    this.#blockUsedBytes = 0;
  }
}
