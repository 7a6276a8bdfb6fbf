/** Shared keys that authenticate messages between daemons. */
import { createHmac, timingSafeEqual } from "node:crypto";
import type { PeerKey } from "../schemas/settings_schema.ts";

/**
 * The shared keys in force. The first key signs and all keys verify, so that
 * keys are changed without a restart.
 *
 * @example
 * const keys = new KeyRing(settings.peers.keys);
 * keys.replace(newSettings.peers.keys); // on SIGHUP
 */
export class KeyRing {
  #keys: readonly PeerKey[] = [];

  /**
   * @param keys Shared keys, at least one.
   */
  constructor(keys: readonly PeerKey[]) {
    this.replace(keys);
  }

  /** Id of the key that signs. */
  get signingId(): string {
    return (this.#keys[0] as PeerKey).id;
  }

  /**
   * Replaces all keys.
   *
   * @param keys Shared keys, at least one.
   * @throws {RangeError} When the list is empty.
   */
  replace(keys: readonly PeerKey[]): void {
    if (keys.length === 0) {
      throw new RangeError("At least one shared key is required");
    }
    this.#keys = [...keys];
  }

  /**
   * Computes the MAC of a message with one of the keys.
   *
   * @param keyId Id of the key.
   * @param parts Contents; each part is preceded by its length in the MAC.
   * @returns HMAC-SHA-256, or undefined when the key is not in force.
   */
  sign(keyId: string, parts: readonly Uint8Array[]): Buffer | undefined {
    const key = this.#keys.find((candidate) => candidate.id === keyId);
    if (key === undefined) {
      return undefined;
    }
    const hmac = createHmac("sha256", key.secret);
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
   * @param keyId Id of the key that the sender names.
   * @param parts Contents in the order in which they were signed.
   * @param options MAC that the message carries.
   * @returns True when the key is in force and the MAC matches.
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
