/** `PlatformClient` over the stand-in's store, without HTTP, for tests. */
import type { Stream } from "most";
import { EventSource } from "../src/core/event_source.ts";
import {
  type PlatformClient,
  PlatformError,
  type PutCondition,
  type PutResult,
  type StoredObject,
} from "../src/core/platform_client.ts";
import { FaultSwitches } from "./platform_faults.ts";
import { PlatformStore } from "./platform_store.ts";

const DOWN_MESSAGE = "Platform is down";

/**
 * Client with the faults `down`, lost answers and dropped writes. Clients that
 * share a store see the same objects.
 *
 * @example
 * const client = new MemoryPlatformClient(new PlatformStore());
 * client.faults.down = true;
 */
export class MemoryPlatformClient implements PlatformClient {
  readonly faults = new FaultSwitches();
  readonly #store: PlatformStore;
  /** Calls by method. */
  readonly calls = { get: 0, list: 0, put: 0, watch: 0 };

  /**
   * @param store Objects.
   */
  constructor(store: PlatformStore) {
    this.#store = store;
  }

  /** @inheritdoc */
  async get(kind: string, name: string): Promise<StoredObject | undefined> {
    this.calls.get++;
    this.#checkUp();
    return this.#store.read({ kind, name });
  }

  /** @inheritdoc */
  async list(kind: string): Promise<StoredObject[]> {
    this.calls.list++;
    this.#checkUp();
    return this.#store.list(kind);
  }

  /** @inheritdoc */
  async put(
    object: Omit<StoredObject, "version">,
    condition: PutCondition,
  ): Promise<PutResult> {
    this.calls.put++;
    this.#checkUp();
    if (this.faults.consumeDroppedWrite()) {
      throw new PlatformError("unknown", "Connection was reset");
    }
    const { kind, name } = object;
    const value = structuredClone(object.value);
    const written = this.#store.write({ kind, name }, value, condition);
    if (written === undefined) {
      return { kind: "conflict" };
    }
    if (this.faults.consumeLostAnswer()) {
      throw new PlatformError("unknown", "Connection was reset");
    }
    return { kind: "written", version: written.version };
  }

  /**
   * Emits the current objects on the next turn of the Node.js event loop, and
   * then each write.
   */
  watch(kind: string): Stream<StoredObject> {
    this.calls.watch++;
    const source = new EventSource<StoredObject>();
    const emit = (object: StoredObject) => {
      if (!this.faults.down) {
        source.emit(object);
      }
    };
    this.#store.watch(kind, emit);
    setImmediate(() => this.#store.list(kind).forEach(emit));
    return source.stream;
  }

  #checkUp(): void {
    if (this.faults.down) {
      throw new PlatformError("not-applied", DOWN_MESSAGE);
    }
  }
}
