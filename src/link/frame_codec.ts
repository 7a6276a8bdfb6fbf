/** Frames on a byte stream: a length of four bytes, then msgpack. */
import { Packr } from "msgpackr";
import VError from "verror";

const LENGTH_BYTES = 4;
/** A larger frame is taken for a damaged stream. */
const FRAME_MAX_BYTES = 134_217_728;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });

/**
 * Encodes one frame.
 *
 * @param frame Array of the schemas in `link_schema.ts`.
 * @returns Bytes with their length in front.
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
  #rest: Buffer = Buffer.alloc(0);
  #parts: Buffer[] = [];
  #partsBytes = 0;
  #neededBytes = LENGTH_BYTES;

  /**
   * Adds bytes and decodes the frames that are complete.
   *
   * @param chunk Bytes of the stream.
   * @param onFrame Receives each frame.
   * @throws {VError} On a length that no frame has, or bytes that are no frame.
   */
  push(chunk: Buffer, onFrame: (frame: unknown[]) => void): void {
    this.#parts.push(chunk);
    this.#partsBytes += chunk.length;
    if (this.#rest.length + this.#partsBytes < this.#neededBytes) {
      return;
    }
    const bytes = this.#rest.length === 0 && this.#parts.length === 1
      ? chunk
      : Buffer.concat([this.#rest, ...this.#parts]);
    this.#parts = [];
    this.#partsBytes = 0;
    this.#rest = this.#decodeAll(bytes, onFrame);
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
