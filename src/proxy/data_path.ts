/** Connects the stages of the data path. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ConfigSource } from "../decisions/config_source.ts";
import type { IdempotencyLedger } from "../decisions/idempotency_ledger.ts";
import type { KeyClock, KeyedAdmission } from "../decisions/keyed_admission.ts";
import type { OwnerHistory } from "../decisions/key_owner.ts";
import type { PolicySet } from "../decisions/policy_set.ts";
import type { UpstreamDirectory } from "../decisions/upstream_directory.ts";
import type { PeerKey } from "../schemas/settings_schema.ts";
import type { RequestObserver } from "../telemetry/request_observer.ts";
import { LocalTransport } from "./attempt_transport.ts";
import { ChainRegistry } from "./chain_registry.ts";
import { EntryHandler } from "./entry_handler.ts";
import { HopHandler } from "./hop_handler.ts";
import { HopTokens } from "./hop_token.ts";
import { HopTransport } from "./hop_transport.ts";
import { InboundService } from "./inbound_service.ts";
import { KeyedGate } from "./keyed_gate.ts";
import { OutboundService } from "./outbound_service.ts";

/** Policies, data sources and observer that the data path uses. */
export type DataPathParts = {
  config: ConfigSource;
  directory: UpstreamDirectory;
  owners: OwnerHistory;
  policies: PolicySet;
  admission: KeyedAdmission;
  ledger: IdempotencyLedger;
  keyClock: KeyClock;
  observer: RequestObserver;
};

/** Options of {@link DataPath}. */
export type DataPathOptions = {
  /** Identity of this daemon; the incarnation may be raised at run time. */
  identity: {
    readonly instanceId: string;
    readonly incarnationEpochMs: number;
  };
  /** Shared keys: the first one signs, every one verifies. */
  keys: readonly PeerKey[];
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
  /** Reads the wall clock, in ms since the epoch. */
  wallMs: () => number;
};

const HOP_CONNECTIONS_MAX_COUNT = 64;

/**
 * Handles the requests of the three data listeners.
 *
 * @example
 * const dataPath = new DataPath(parts, options);
 * new Listener((request, response) => dataPath.handleCall(request, response));
 */
export class DataPath {
  readonly inbound: InboundService;
  readonly tokens: HopTokens;
  readonly #chain = new ChainRegistry();
  readonly #keyed: KeyedGate;
  readonly #hopTransport: HopTransport;
  readonly #entry: EntryHandler;
  readonly #ownCalls: EntryHandler;
  readonly #hops: HopHandler;

  /**
   * @param parts Policies, data sources and observer.
   * @param options Identity, keys and clocks.
   */
  constructor(parts: DataPathParts, options: DataPathOptions) {
    const { config, policies, observer } = parts;
    const { identity, nowMs } = options;
    const { instanceId } = identity;
    const chain = this.#chain;
    this.tokens = new HopTokens(options.keys, options.wallMs);
    this.#keyed = new KeyedGate({ ...parts, clock: parts.keyClock }, { nowMs });
    this.inbound = new InboundService(chain, {
      instanceId,
      nowMs,
      observer,
      keyed: this.#keyed,
      tenantWeight: (tenant) =>
        config.current()?.tables.routes.tenants[tenant]?.weight ?? 1,
    });
    this.#hopTransport = new HopTransport(this.tokens, {
      instanceId,
      nowMs,
      connectionsMaxCount: HOP_CONNECTIONS_MAX_COUNT,
    });
    const transport = new LocalTransport(this.inbound, this.#hopTransport, {
      instanceId,
    });
    const { selector, retries } = policies;
    const outbound = new OutboundService(
      { ...parts, selector, retries, transport, chain },
      { nowMs },
    );
    this.#entry = new EntryHandler({ config, outbound }, { nowMs });
    this.#ownCalls = new EntryHandler({ config, outbound, chain }, { nowMs });
    this.#hops = new HopHandler(this.inbound, this.tokens, { identity, nowMs });
  }

  /** Handles a request of an external caller. */
  handleCall(request: IncomingMessage, response: ServerResponse): void {
    this.#entry.handle(request, response);
  }

  /** Handles a request that another daemon forwards. */
  handleHop(request: IncomingMessage, response: ServerResponse): void {
    this.#hops.handle(request, response);
  }

  /** Handles a call that the local upstream makes. */
  handleOwnCall(request: IncomingMessage, response: ServerResponse): void {
    this.#ownCalls.handle(request, response);
  }

  /**
   * Returns whether a call of the local upstream belongs to a running request.
   *
   * @param request Call of the local upstream.
   * @returns True if it carries the request id of a running request.
   */
  continuesChain(request: IncomingMessage): boolean {
    const requestId = String(request.headers["goldcrest-request-id"]);
    return this.#chain.find(requestId) !== undefined;
  }

  /** Starts the regular check of the fence for keyed requests. */
  start(): void {
    this.#keyed.start();
  }

  /** Stops the fence check and closes all connections to other daemons. */
  async close(): Promise<void> {
    this.#keyed.stop();
    await this.#hopTransport.close();
  }
}
