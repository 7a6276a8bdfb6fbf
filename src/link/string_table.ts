/** Compresses repeated strings of a link: they are sent as table indices. */
import VError from "verror";

/**
 * A string on the wire: a literal, the index of a table entry, or, as an array
 * of one string, a literal that becomes the next table entry.
 */
export type WireString = string | number | readonly [string];

/** Maximum number of table entries in each direction. */
const TABLE_MAX_COUNT = 2_000;
/** Longer strings are always sent as literals. */
const ENTRY_MAX_LENGTH = 80;
/**
 * Maximum number of strings that are remembered as sent once. When it is
 * reached, all of them are forgotten.
 */
const CANDIDATES_MAX_COUNT = 500;

/** Encodes the strings that are sent on one connection. */
export class StringEncoder {
  readonly #indices = new Map<string, number>();
  #candidates = new Set<string>();

  /**
   * Encodes a string. One that is sent a second time is added to the table.
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
      text.length > ENTRY_MAX_LENGTH || this.#indices.size >= TABLE_MAX_COUNT
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

/** Decodes the strings that are received on one connection. */
export class StringDecoder {
  readonly #entries: string[] = [];

  /**
   * Decodes a string.
   *
   * @param wire Form on the wire.
   * @returns The string.
   * @throws {VError} When the table has no entry with the index.
   */
  decode(wire: WireString): string {
    if (typeof wire === "string") {
      return wire;
    }
    if (typeof wire !== "number") {
      this.#entries.push(wire[0]);
      return wire[0];
    }
    const text = this.#entries[wire];
    if (text === undefined) {
      throw new VError("String table of the link has no entry %d", wire);
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
