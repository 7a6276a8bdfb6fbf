/** Connects the stages of the data path. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { InputDelay } from "../core/input_delay.ts";
import type { StartQueue } from "../core/start_queue.ts";
import type { ConfigSource } from "../decisions/config_source.ts";
import type { IdempotencyLedger } from "../decisions/keys/idempotency_ledger.ts";
import type {
  KeyClock,
  KeyedAdmission,
} from "../decisions/keys/keyed_admission.ts";
import type { OwnerHistory } from "../decisions/keys/key_owner.ts";
import type { PolicySet } from "../decisions/policy_set.ts";
import type { UpstreamDirectory } from "../decisions/selection/upstream_directory.ts";
import type { PeerKey } from "../schemas/settings_schema.ts";
import type { RequestObserver } from "../telemetry/request_observer.ts";
import { LocalTransport } from "./attempt_transport.ts";
import { BodyReader } from "./body_reader.ts";
import type { CallerBounds } from "./caller_bounds.ts";
import { EntryHandler } from "./entry_handler.ts";
import { HopHandler } from "./hop_handler.ts";
import { HopTokens } from "./hop_token.ts";
import { HopTransport } from "./hop_transport.ts";
import { InboundService } from "./inbound_service.ts";
import { KeyedGate } from "./keyed_gate.ts";
import { OutboundService } from "./outbound_service.ts";
import { RunningRequests } from "./running_requests.ts";

/** Policies, data sources, ledger, observer, bounds and queue of the data path. */
export type DataPathParts = {
  config: ConfigSource;
  directory: UpstreamDirectory;
  owners: OwnerHistory;
  policies: PolicySet;
  admission: KeyedAdmission;
  ledger: IdempotencyLedger;
  keyClock: KeyClock;
  observer: RequestObserver;
  bounds: CallerBounds;
  /** Starts requests once what has arrived behind them has been read. */
  startQueue: StartQueue;
  inputDelay: InputDelay;
};

/** Options of {@link DataPath}. */
export type DataPathOptions = {
  /**
   * Identity of this daemon. The incarnation is read at each use, because it
   * may be raised at run time.
   */
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

/** Largest number of connections to the hop listener of one endpoint. */
const HOP_CONNECTIONS_MAX_COUNT = 64;

/**
 * Handles requests of external callers, of other daemons and of the local
 * upstream, each of which has a listener.
 *
 * @example
 * const dataPath = new DataPath(parts, options);
 * const handle = (request, response) => dataPath.handleCall(request, response);
 * new Listener(handle, bounds.limitsOf("callers"));
 */
export class DataPath {
  readonly inbound: InboundService;
  readonly tokens: HopTokens;
  readonly #runningRequests = new RunningRequests();
  readonly #bounds: CallerBounds;
  readonly #keyedGate: KeyedGate;
  readonly #hopTransport: HopTransport;
  readonly #callerHandler: EntryHandler;
  readonly #localUpstreamHandler: EntryHandler;
  readonly #hopHandler: HopHandler;

  /**
   * @param parts Policies, data sources, ledger, observer, bounds, queue and
   *   delay of the input.
   * @param options Identity, keys and clocks.
   */
  constructor(parts: DataPathParts, options: DataPathOptions) {
    const { config, policies, observer, bounds, startQueue } = parts;
    const { identity, nowMs } = options;
    const { instanceId } = identity;
    const runningRequests = this.#runningRequests;
    this.#bounds = bounds;
    this.tokens = new HopTokens(options.keys, options.wallMs);
    this.#keyedGate = new KeyedGate({ ...parts, clock: parts.keyClock }, {
      nowMs,
    });
    this.inbound = new InboundService(runningRequests, {
      instanceId,
      nowMs,
      observer,
      startQueue,
      keyedGate: this.#keyedGate,
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
      { ...parts, selector, retries, transport, runningRequests },
      { nowMs },
    );
    this.#callerHandler = new EntryHandler({
      config,
      outbound,
      bodies: new BodyReader("callers", { bounds, nowMs }),
      startQueue,
    }, { nowMs });
    this.#localUpstreamHandler = new EntryHandler({
      config,
      outbound,
      bodies: new BodyReader("outbound", { bounds, nowMs }),
      startQueue,
      runningRequests,
    }, { nowMs });
    this.#hopHandler = new HopHandler(this.inbound, this.tokens, {
      bodies: new BodyReader("hop", { bounds, nowMs }),
      startQueue,
      inputDelay: parts.inputDelay,
      identity,
      nowMs,
    });
  }

  /** Handles a request of an external caller. */
  handleCall(request: IncomingMessage, response: ServerResponse): void {
    this.#callerHandler.handle(request, response);
  }

  /** Handles a request that another daemon forwards. */
  handleHop(request: IncomingMessage, response: ServerResponse): void {
    this.#hopHandler.handle(request, response);
  }

  /** Handles a call that the local upstream makes. */
  handleLocalUpstreamCall(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    this.#localUpstreamHandler.handle(request, response);
  }

  /**
   * Returns whether a call of the local upstream belongs to a running request.
   *
   * @param request Call of the local upstream.
   * @returns True if it carries the request id of a running request.
   */
  belongsToRunningRequest(request: IncomingMessage): boolean {
    const requestId = String(request.headers["goldcrest-request-id"]);
    return this.#runningRequests.find(requestId) !== undefined;
  }

  /** Starts the periodic checks of the self-fence and of received bodies. */
  start(): void {
    this.#bounds.start();
    this.#keyedGate.start();
  }

  /** Stops the periodic checks and closes all connections to other daemons. */
  async close(): Promise<void> {
    this.#bounds.stop();
    this.#keyedGate.stop();
    await this.#hopTransport.close();
  }
}
