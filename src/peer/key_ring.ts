/** Shared keys that authenticate messages between daemons. */
import {
  createHmac,
  createSecretKey,
  type KeyObject,
  timingSafeEqual,
} from "node:crypto";
import type { PeerKey } from "../schemas/settings_schema.ts";

/** Creates a key object; passing a string to each HMAC would cost more. */
function importSecret(secret: string): KeyObject {
  return createSecretKey(Buffer.from(secret, "utf8"));
}

/**
 * The current shared keys. The first key signs and all keys verify, so that
 * keys can be changed without a restart.
 *
 * @example
 * const keys = new KeyRing(settings.peers.keys);
 * keys.replace(newSettings.peers.keys); // on SIGHUP
 */
export class KeyRing {
  #signingId = "";
  #secrets: ReadonlyMap<string, KeyObject> = new Map();

  /**
   * @param keys Shared keys, at least one.
   */
  constructor(keys: readonly PeerKey[]) {
    this.replace(keys);
  }

  /** Id of the key that signs. */
  get signingId(): string {
    return this.#signingId;
  }

  /**
   * Replaces all keys.
   *
   * @param keys Shared keys, at least one.
   * @throws {RangeError} When the list is empty.
   */
  replace(keys: readonly PeerKey[]): void {
    const [first] = keys;
    if (first === undefined) {
      throw new RangeError("At least one shared key is required");
    }
    this.#signingId = first.id;
    this.#secrets = new Map(
      // Of two keys with the same id, the first one is used.
      [...keys].reverse().map(({ id, secret }) => [id, importSecret(secret)]),
    );
  }

  /**
   * Computes the MAC of a message with one of the keys.
   *
   * @param keyId Id of the key.
   * @param parts Parts of the message; the MAC is computed over each part with its
   *   length before it.
   * @returns HMAC-SHA-256, or undefined when the key is unknown.
   */
  sign(keyId: string, parts: readonly Uint8Array[]): Buffer | undefined {
    const secret = this.#secrets.get(keyId);
    if (secret === undefined) {
      return undefined;
    }
    const hmac = createHmac("sha256", secret);
    for (const part of parts) {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(part.length);
      hmac.update(length).update(part);
    }
    return hmac.digest();
  }

  /**
   * Checks the MAC of a message in constant time.
   *
   * @param keyId Key id in the message.
   * @param parts Parts of the message, in the order in which they were signed.
   * @param options MAC in the message.
   * @returns True when the key is known and the MAC matches.
   */
  verify(
    keyId: string,
    parts: readonly Uint8Array[],
    options: { mac: Uint8Array },
  ): boolean {
    const expected = this.sign(keyId, parts);
    return expected !== undefined &&
      expected.length === options.mac.length &&
      timingSafeEqual(expected, options.mac);
  }
}
