/** Frames in a byte stream: a big-endian length of four bytes, then msgpack. */
import { Packr, RESERVE_START_SPACE } from "msgpackr";
import VError from "verror";

const LENGTH_BYTES = 4;
/** A longer length means that the stream is corrupt. */
const FRAME_MAX_BYTES = 134_217_728;
/** Size from which on a body is not copied into its frame. */
const LARGE_BODY_MIN_BYTES = 65_536;
/** Types of the msgpack format. */
const MSGPACK_ARRAY_16 = 0xdc;
const MSGPACK_BINARY_32 = 0xc6;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });

/**
 * Encodes one frame.
 *
 * @param frame Array that one of the schemas in `link_schema.ts` describes.
 * @returns The encoded frame, preceded by its length.
 */
export function encodeFrame(frame: readonly unknown[]): Buffer {
  // The length is written into space that msgpackr leaves, without a copy.
  const bytes = packr.pack(frame, RESERVE_START_SPACE | LENGTH_BYTES);
  bytes.writeUInt32BE(bytes.length - LENGTH_BYTES, 0);
  return bytes;
}

/**
 * Encodes one frame without a copy of a large body, which would need several
 * times its memory.
 *
 * @param frame Array that one of the schemas in `link_schema.ts` describes.
 * @returns Buffers that follow each other in the stream; one if no element is a
 *   large body.
 */
export function encodeFrameParts(
  frame: readonly unknown[],
): readonly Uint8Array[] {
  const index = frame.findIndex(isLargeBody);
  if (index < 0) {
    return [encodeFrame(frame)];
  }
  const body = frame[index] as Uint8Array;
  const before = Buffer.concat([
    arrayHeader(frame.length),
    ...frame.slice(0, index).map((element) => packr.pack(element)),
    binaryHeader(body.length),
  ]);
  const after = Buffer.concat(
    frame.slice(index + 1).map((element) => packr.pack(element)),
  );
  const length = before.length + body.length + after.length;
  return [withLength(before, length), body, after];
}

function isLargeBody(element: unknown): boolean {
  return element instanceof Uint8Array &&
    element.length >= LARGE_BODY_MIN_BYTES;
}

/** Precedes bytes by a length. */
function withLength(bytes: Buffer, length: number): Buffer {
  const result = Buffer.allocUnsafe(LENGTH_BYTES + bytes.length);
  result.writeUInt32BE(length, 0);
  bytes.copy(result, LENGTH_BYTES);
  return result;
}

/** Header of an array with a length of 16 bits in msgpack. */
function arrayHeader(length: number): Buffer {
  const header = Buffer.from([MSGPACK_ARRAY_16, 0, 0]);
  header.writeUInt16BE(length, 1);
  return header;
}

/** Header of a byte string with a length of 32 bits in msgpack. */
function binaryHeader(length: number): Buffer {
  const header = Buffer.from([MSGPACK_BINARY_32, 0, 0, 0, 0]);
  header.writeUInt32BE(length, 1);
  return header;
}

/** Splits a byte stream into frames. */
export class FrameReader {
  #incomplete: Buffer = Buffer.alloc(0);
  #chunks: Buffer[] = [];
  #chunksBytes = 0;
  #neededBytes = LENGTH_BYTES;

  /** Bytes of a frame that is not complete. */
  get incompleteBytes(): number {
    return this.#incomplete.length + this.#chunksBytes;
  }

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
