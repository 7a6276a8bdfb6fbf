/** In-memory store of the objects of the platform stand-in. */

/** One object with its version. */
export type PlatformObject = {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
};

/** Identity of an object. */
export type ObjectKey = { kind: string; name: string };

/** Precondition of a write. */
export type WriteCondition = { expectedVersion: number | "absent" };

type Listener = (object: PlatformObject) => void;

/**
 * Objects by kind and name with conditional writes and watches.
 *
 * @example
 * const store = new PlatformStore();
 * store.write({ kind: "tables", name: "routes" }, text, { expectedVersion: "absent" });
 */
export class PlatformStore {
  readonly #kinds = new Map<string, Map<string, PlatformObject>>();
  readonly #listeners = new Map<string, Set<Listener>>();

  /**
   * Reads one object.
   *
   * @param key Kind and name.
   * @returns The object; undefined when it does not exist.
   */
  read(key: ObjectKey): PlatformObject | undefined {
    return this.#kinds.get(key.kind)?.get(key.name);
  }

  /**
   * Lists the objects of a kind.
   *
   * @param kind Kind of the objects.
   * @returns Objects in order of creation.
   */
  list(kind: string): PlatformObject[] {
    return [...this.#kinds.get(kind)?.values() ?? []];
  }

  /**
   * Writes an object if its version is the expected one.
   *
   * @param key Kind and name.
   * @param value New value.
   * @param condition Version that the write replaces.
   * @returns The written object; undefined on a conflict.
   */
  write(
    key: ObjectKey,
    value: unknown,
    condition: WriteCondition,
  ): PlatformObject | undefined {
    const current = this.read(key);
    if ((current?.version ?? "absent") !== condition.expectedVersion) {
      return undefined;
    }
    const object = { ...key, version: (current?.version ?? 0) + 1, value };
    const objects = this.#kinds.get(key.kind) ?? new Map();
    objects.set(key.name, object);
    this.#kinds.set(key.kind, objects);
    for (const listener of this.#listeners.get(key.kind) ?? []) {
      listener(object);
    }
    return object;
  }

  /**
   * Calls a listener after each write of a kind.
   *
   * @param kind Kind of the objects.
   * @param listener Receives each written object.
   * @returns Function that ends the watch.
   */
  watch(kind: string, listener: Listener): () => void {
    const listeners = this.#listeners.get(kind) ?? new Set();
    listeners.add(listener);
    this.#listeners.set(kind, listeners);
    return () => void listeners.delete(listener);
  }
}
