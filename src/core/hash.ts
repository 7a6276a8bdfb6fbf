/** Fast non-cryptographic hashes. */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/**
 * Hashes a string to an unsigned 32-bit integer with xxHash32.
 *
 * @param text String to hash, as UTF-8.
 * @param seed Seed; different seeds give independent hashes.
 * @returns Hash in `[0, 2^32)`.
 *
 * @example
 * hash32("dakar-plateau");
 */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}
