/** Frames in a byte stream: a big-endian length of four bytes, then msgpack. */
import { Packr } from "msgpackr";
import VError from "verror";

const LENGTH_BYTES = 4;
/** A longer length means that the stream is corrupt. */
const FRAME_MAX_BYTES = 134_217_728;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });

/**
 * Encodes one frame.
 *
 * @param frame Array that one of the schemas in `link_schema.ts` describes.
 * @returns The encoded frame, preceded by its length.
 */
export function encodeFrame(frame: readonly unknown[]): Buffer {
  const body = packr.pack(frame);
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  body.copy(bytes, LENGTH_BYTES);
  return bytes;
}

/** Splits a byte stream into frames. */
export class FrameReader {
  #incomplete: Buffer = Buffer.alloc(0);
  #chunks: Buffer[] = [];
  #chunksBytes = 0;
  #neededBytes = LENGTH_BYTES;

  /**
   * Appends bytes and decodes each frame that is now complete.
   *
   * @param chunk Next bytes of the stream.
   * @param onFrame Called with each frame, in order.
   * @throws {VError} When the length exceeds 128 MiB or the frame is not an
   *   array. Errors of the msgpack decoder are passed on.
   */
  push(chunk: Buffer, onFrame: (frame: unknown[]) => void): void {
    this.#chunks.push(chunk);
    this.#chunksBytes += chunk.length;
    if (this.#incomplete.length + this.#chunksBytes < this.#neededBytes) {
      return;
    }
    const bytes = this.#incomplete.length === 0 && this.#chunks.length === 1
      ? chunk
      : Buffer.concat([this.#incomplete, ...this.#chunks]);
    this.#chunks = [];
    this.#chunksBytes = 0;
    this.#incomplete = this.#decodeAll(bytes, onFrame);
  }

  #decodeAll(bytes: Buffer, onFrame: (frame: unknown[]) => void): Buffer {
    let offset = 0;
    this.#neededBytes = LENGTH_BYTES;
    while (bytes.length - offset >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(offset);
      if (length > FRAME_MAX_BYTES) {
        throw new VError("Frame of %d bytes is too long", length);
      }
      const end = offset + LENGTH_BYTES + length;
      if (end > bytes.length) {
        this.#neededBytes = LENGTH_BYTES + length;
        break;
      }
      const frame: unknown = packr.unpack(
        bytes.subarray(offset + LENGTH_BYTES, end),
      );
      if (!Array.isArray(frame)) {
        throw new VError("Frame is not an array");
      }
      offset = end;
      onFrame(frame);
    }
    return bytes.subarray(offset);
  }
}
