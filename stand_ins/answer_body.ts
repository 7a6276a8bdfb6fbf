/** Reproducible bodies: tenant, token and position determine every byte. */
import { Buffer } from "node:buffer";

/** Length of the blocks of a body, in bytes. */
export const BLOCK_BYTES = 4_096;

/** Tenant and token that determine the bytes of a body. */
export type BodyIdentity = {
  /** Tenant that the answer belongs to. */
  readonly tenant: string;
  /** Token that the caller chose for its request. */
  readonly token: string;
};

function makeBlock({ tenant, token }: BodyIdentity, index: number): Buffer {
  const label = `${tenant} ${token} ${index}\n`;
  return Buffer.alloc(BLOCK_BYTES, label);
}

/**
 * Makes a part of a body.
 *
 * @param identity Tenant and token.
 * @param range First byte, and the exclusive end.
 * @returns The bytes of the range.
 *
 * @example
 * answerBytes({ tenant: "default", token: "t1" }, { fromBytes: 0, toBytes: 10 });
 */
export function answerBytes(
  identity: BodyIdentity,
  range: { fromBytes: number; toBytes: number },
): Buffer {
  const { fromBytes, toBytes } = range;
  const first = Math.floor(fromBytes / BLOCK_BYTES);
  const last = Math.ceil(toBytes / BLOCK_BYTES);
  const blocks: Buffer[] = [];
  for (let index = first; index < last; index++) {
    blocks.push(makeBlock(identity, index));
  }
  const startBytes = first * BLOCK_BYTES;
  return Buffer.concat(blocks)
    .subarray(fromBytes - startBytes, toBytes - startBytes);
}

/** Checks a body while it arrives. */
export class BodyCheck {
  readonly #identity: BodyIdentity;
  #receivedBytes = 0;
  #matches = true;

  /**
   * @param identity Tenant and token that the body must belong to.
   */
  constructor(identity: BodyIdentity) {
    this.#identity = identity;
  }

  /** Number of bytes that arrived. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Whether every byte so far is the expected one. */
  get matches(): boolean {
    return this.#matches;
  }

  /**
   * Compares the next part of the body.
   *
   * @param chunk Bytes that arrived.
   */
  add(chunk: Uint8Array): void {
    const fromBytes = this.#receivedBytes;
    this.#receivedBytes += chunk.length;
    const expected = answerBytes(this.#identity, {
      fromBytes,
      toBytes: this.#receivedBytes,
    });
    this.#matches &&= expected.equals(chunk);
  }
}
