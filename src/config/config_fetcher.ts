/** Fetches a newer configuration from peers. */
import type { PeerTransport } from "../core/peer_transport.ts";
import type { Address } from "../schemas/common_schema.ts";
import type {
  CompareAnswer,
  ConfigHead,
  TableEntry,
} from "../schemas/config_schema.ts";
import type { ConfigOrigin, ConfigStore } from "./config_store.ts";
import { compareHeads } from "./generation_rule.ts";
import { CHUNK_METHOD, COMPARE_METHOD } from "./config_methods.ts";
import { indexEntries } from "./table_entries.ts";

const REQUEST_TIMEOUT_MS = 2_000;
const ORIGIN: ConfigOrigin = { source: "peer" };

/**
 * Fetches a newer configuration from a peer: the missing steps if the peer still
 * keeps them, else a full copy in chunks.
 *
 * @example
 * await new ConfigFetcher(store, transport).fetch([address]);
 */
export class ConfigFetcher {
  readonly #store: ConfigStore;
  readonly #transport: PeerTransport;

  /**
   * @param store Configuration of this daemon.
   * @param transport Requests to peers.
   */
  constructor(store: ConfigStore, transport: PeerTransport) {
    this.#store = store;
    this.#transport = transport;
  }

  /**
   * Asks peers one after the other until this daemon has the configuration of
   * one of them.
   *
   * @param addresses Peers, the preferred one first.
   * @returns False when no peer supplied its configuration.
   */
  async fetch(addresses: readonly Address[]): Promise<boolean> {
    for (const address of addresses) {
      try {
        if (await this.#fetchFrom(address)) {
          return true;
        }
      } catch {
        // The next peer is asked; a later comparison detects the difference again.
      }
    }
    return false;
  }

  /**
   * Compares heads with one peer and applies the steps that it sends.
   *
   * @param address Peer.
   * @returns The peer's answer.
   * @throws {PeerError} When the peer does not answer.
   */
  async compare(address: Address): Promise<CompareAnswer> {
    const head = this.#store.head();
    const body = head === undefined ? {} : { head };
    const answer = await this.#transport.request(
      address,
      { method: COMPARE_METHOD, body },
      { timeoutMs: REQUEST_TIMEOUT_MS },
    );
    if (head && answer.head && compareHeads(head, answer.head) === "same") {
      this.#store.confirm();
    }
    answer.steps.forEach((step) => this.#store.applyStep(step, ORIGIN));
    return answer;
  }

  async #fetchFrom(address: Address): Promise<boolean> {
    const { head } = await this.compare(address);
    if (head === undefined) {
      return false;
    }
    const relation = compareHeads(this.#store.head(), head);
    if (relation !== "newer") {
      return relation === "same";
    }
    const entries = await this.#fetchChunks(address, head);
    return entries !== undefined &&
      this.#store.applyFull({ head, entries: indexEntries(entries) }, ORIGIN);
  }

  /** Returns undefined when the peer has meanwhile applied another generation. */
  async #fetchChunks(
    address: Address,
    head: ConfigHead,
  ): Promise<TableEntry[] | undefined> {
    const entries: TableEntry[] = [];
    let chunksCount = 1;
    for (let index = 0; index < chunksCount; index++) {
      const answer = await this.#transport.request(
        address,
        { method: CHUNK_METHOD, body: { head, index } },
        { timeoutMs: REQUEST_TIMEOUT_MS },
      );
      if (answer.chunksCount === 0) {
        return undefined;
      }
      chunksCount = answer.chunksCount;
      entries.push(...answer.entries);
    }
    return entries;
  }
}
