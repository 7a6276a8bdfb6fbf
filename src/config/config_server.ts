/** Answers configuration requests of peers. */
import type { PeerIdentity, PeerTransport } from "../core/peer_transport.ts";
import type { ConfigHead, TableEntry } from "../schemas/config_schema.ts";
import { chunkEntries } from "./chunk_entries.ts";
import type { ConfigStore } from "./config_store.ts";
import { compareHeads, type HeadRelation } from "./generation_rule.ts";
import {
  CHUNK_METHOD,
  COMPARE_METHOD,
  FLOOD_METHOD,
} from "./config_methods.ts";
import type { TableEntries } from "./table_entries.ts";

const CHUNK_MAX_BYTES = 131_072;

/** Receives the head of a peer and its relation to the head of this daemon. */
export type HeadObserver = (
  relation: HeadRelation,
  head: ConfigHead,
  from: PeerIdentity,
) => void;

/**
 * Serves floods, comparisons and full copies from a store.
 *
 * @example
 * new ConfigServer(store, observe).register(transport);
 */
export class ConfigServer {
  readonly #store: ConfigStore;
  readonly #observe: HeadObserver;
  /** Chunks of the entries served last, so that each request need not split them. */
  #chunkCache: { entries: TableEntries; chunks: TableEntry[][] } | undefined;

  /**
   * @param store Configuration of this daemon.
   * @param observe Receives the heads that peers send.
   */
  constructor(store: ConfigStore, observe: HeadObserver) {
    this.#store = store;
    this.#observe = observe;
  }

  /**
   * Registers the handlers.
   *
   * @param transport Transport that receives the requests of peers.
   */
  register(transport: PeerTransport): void {
    transport.serve(FLOOD_METHOD, (step, from) => {
      const { instanceId } = from;
      if (!this.#store.applyStep(step, { source: "flood", instanceId })) {
        this.#observeHead(step.next, from);
      }
      return this.#ownHead();
    });
    transport.serve(COMPARE_METHOD, ({ head }, from) => {
      if (head === undefined) {
        return { ...this.#ownHead(), steps: [] };
      }
      this.#observeHead(head, from);
      return { ...this.#ownHead(), steps: this.#store.stepsFrom(head) };
    });
    transport.serve(
      CHUNK_METHOD,
      ({ head, index }) => this.#readChunk(head, index),
    );
  }

  #ownHead(): { head?: ConfigHead } {
    const head = this.#store.head();
    return head === undefined ? {} : { head };
  }

  #observeHead(head: ConfigHead, from: PeerIdentity): void {
    const relation = compareHeads(this.#store.head(), head);
    if (relation === "same") {
      this.#store.confirm();
    }
    this.#observe(relation, head, from);
  }

  #readChunk(head: ConfigHead, index: number) {
    const own = this.#store.head();
    if (own === undefined || compareHeads(own, head) !== "same") {
      return { ...this.#ownHead(), chunksCount: 0, entries: [] };
    }
    const entries = this.#store.entries();
    if (this.#chunkCache?.entries !== entries) {
      const chunks = chunkEntries(entries, CHUNK_MAX_BYTES);
      this.#chunkCache = { entries, chunks };
    }
    const { chunks } = this.#chunkCache;
    return {
      head: own,
      chunksCount: chunks.length,
      entries: chunks[index] ?? [],
    };
  }
}
