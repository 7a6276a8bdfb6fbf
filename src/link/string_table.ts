/** Strings that repeat on a link travel as numbers. */
import VError from "verror";

/** A string on the wire: literal, number of a known one, or a new known one. */
export type WireString = string | number | readonly [string];

const TABLE_MAX_COUNT = 2_000;
const KNOWN_MAX_LENGTH = 80;
/** Strings that were seen once and may become known ones. */
const CANDIDATES_MAX_COUNT = 500;

/** Sending side of one connection. */
export class StringEncoder {
  readonly #indices = new Map<string, number>();
  #candidates = new Set<string>();

  /**
   * Encodes a string. One that comes again becomes known to the peer.
   *
   * @param text String to send.
   * @returns Its form on the wire.
   */
  encode(text: string): WireString {
    const index = this.#indices.get(text);
    if (index !== undefined) {
      return index;
    }
    if (
      text.length > KNOWN_MAX_LENGTH || this.#indices.size >= TABLE_MAX_COUNT
    ) {
      return text;
    }
    if (this.#candidates.delete(text)) {
      this.#indices.set(text, this.#indices.size);
      return [text];
    }
    if (this.#candidates.size >= CANDIDATES_MAX_COUNT) {
      this.#candidates = new Set();
    }
    this.#candidates.add(text);
    return text;
  }

  /**
   * Encodes a list.
   *
   * @param texts Strings to send.
   * @returns Their forms on the wire.
   */
  encodeAll(texts: readonly string[]): WireString[] {
    return texts.map((text) => this.encode(text));
  }
}

/** Receiving side of one connection. */
export class StringDecoder {
  readonly #known: string[] = [];

  /**
   * Decodes a string.
   *
   * @param wire Form on the wire.
   * @returns The string.
   * @throws {VError} When the number is not known.
   */
  decode(wire: WireString): string {
    if (typeof wire === "string") {
      return wire;
    }
    if (typeof wire !== "number") {
      this.#known.push(wire[0]);
      return wire[0];
    }
    const text = this.#known[wire];
    if (text === undefined) {
      throw new VError("String %d of the link is not known", wire);
    }
    return text;
  }

  /**
   * Decodes a list.
   *
   * @param wires Forms on the wire.
   * @returns The strings.
   */
  decodeAll(wires: readonly WireString[]): string[] {
    return wires.map((wire) => this.decode(wire));
  }
}
