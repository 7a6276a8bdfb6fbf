/** The one module that constructs the parts of a daemon and connects them. */
import { never, type Stream } from "most";
import { SystemClock } from "../core/clock.ts";
import { EventLoop } from "../core/event_loop.ts";
import { SeededRandom } from "../core/random.ts";
import type { ConfigSource } from "../decisions/config_source.ts";
import { FixedAdmission } from "../decisions/fixed_admission.ts";
import type { OwnerHistory } from "../decisions/key_owner.ts";
import { KeyClock, KeyedAdmission } from "../decisions/keyed_admission.ts";
import { MemoryLedger } from "../decisions/memory_ledger.ts";
import { PerHopRetries } from "../decisions/per_hop_retries.ts";
import { RandomSelector } from "../decisions/random_selector.ts";
import type { UpstreamDirectory } from "../decisions/upstream_directory.ts";
import { LocalTransport } from "../proxy/attempt_transport.ts";
import { ChainRegistry } from "../proxy/chain_registry.ts";
import { EntryHandler } from "../proxy/entry_handler.ts";
import { HopHandler } from "../proxy/hop_handler.ts";
import { HopTokens } from "../proxy/hop_token.ts";
import { HopTransport } from "../proxy/hop_transport.ts";
import { InboundService } from "../proxy/inbound_service.ts";
import { KeyedGate } from "../proxy/keyed_gate.ts";
import { Listener } from "../proxy/listener.ts";
import { OutboundService } from "../proxy/outbound_service.ts";
import { HttpUpstreamClient } from "../proxy/upstream_client.ts";
import type { Address } from "../schemas/common_schema.ts";
import type {
  Announcement,
  PeerKey,
  Settings,
} from "../schemas/settings_schema.ts";
import { OperatorServer } from "../operator/operator_server.ts";
import { errorFields, type Logger, NullLogger } from "../telemetry/logger.ts";
import { type GaugeValues, Metrics } from "../telemetry/metrics.ts";
import { DaemonLife, type LifeEvent } from "./daemon_life.ts";
import { DrainController } from "./drain_controller.ts";
import { Housekeeping } from "./housekeeping.ts";
import { OpenExchanges } from "./open_exchanges.ts";
import { type ControlStatus, OperatorView } from "./operator_view.ts";
import { EmptyDirectory, EmptyOwners, PendingConfig } from "./pending_parts.ts";
import { reloadKeys } from "./reload_keys.ts";
import { UpstreamAttachment } from "./upstream_attachment.ts";
import { WorkGate } from "./work_gate.ts";

/** Parts that are given from outside. */
export type WireParts = {
  config?: ConfigSource;
  directory?: UpstreamDirectory;
  owners?: OwnerHistory;
  log?: Logger;
  /** Signals of the process. */
  signals?: Stream<LifeEvent>;
  /** Re-reads the peer keys of the settings file. */
  readKeys?: () => readonly PeerKey[];
};

/** Bound addresses of a daemon's listeners. */
export type BoundAddresses = Record<
  "callers" | "hop" | "outbound" | "operator",
  Address
>;

/** A daemon whose parts are connected. */
export type Daemon = {
  readonly instanceId: string;
  readonly incarnationEpochMs: number;
  /** Resolves with the exit code when the daemon was told to end. */
  readonly ended: Promise<number>;
  /** Sets the upstream beside the daemon. */
  attachUpstream(announcement: Announcement): void;
  /** Binds all listeners and starts the control loop. */
  listen(): Promise<BoundAddresses>;
  /** Closes all listeners at once. */
  destroy(): Promise<void>;
};

const HOP_CONNECTIONS_MAX_COUNT = 64;
const CUT_LOG_MAX_COUNT = 100;
const LEDGER_LIMITS = {
  entriesMaxCount: 200_000,
  answersMaxBytes: 16_777_216,
};

function wireKeyedGate(
  settings: Settings,
  parts: {
    config: ConfigSource;
    directory: UpstreamDirectory;
    owners: OwnerHistory;
    clock: KeyClock;
    nowMs: () => number;
    incarnationEpochMs: number;
  },
): KeyedGate {
  const { config, directory, clock, nowMs } = parts;
  const ledger = new MemoryLedger(LEDGER_LIMITS);
  const admission = new KeyedAdmission(parts.owners, ledger, {
    instanceId: settings.instance.id,
    dataCentre: settings.instance.dataCentre,
    startedEpochMs: parts.incarnationEpochMs,
    startedMs: nowMs(),
  });
  return new KeyedGate({ admission, ledger, clock, config, directory }, {
    nowMs,
  });
}

/**
 * Constructs a daemon.
 *
 * @param settings Checked settings.
 * @param given Configuration, directory, log and signals; each has a default.
 * @returns The daemon, not yet listening.
 */
export function wireDaemon(settings: Settings, given: WireParts): Daemon {
  const log = given.log ?? new NullLogger();
  const parts = {
    config: given.config ?? new PendingConfig(),
    directory: given.directory ?? new EmptyDirectory(),
    owners: given.owners ?? new EmptyOwners(),
  };
  const clock = new SystemClock();
  const nowMs = () => clock.monotonicMs();
  const incarnationEpochMs = clock.wallMs();
  const { id: instanceId } = settings.instance;
  const open = new OpenExchanges(nowMs);
  const gate = new WorkGate();
  const metrics = new Metrics(readGauges);
  const observer = metrics.requests;
  const chain = new ChainRegistry();
  const tokens = new HopTokens(settings.peers.keys, () => clock.wallMs());
  const keyClock = new KeyClock(() => clock.wallMs());
  const keyed = wireKeyedGate(settings, {
    ...parts,
    clock: keyClock,
    nowMs,
    incarnationEpochMs,
  });
  const inbound = new InboundService(chain, {
    instanceId,
    nowMs,
    observer,
    keyed,
    tenantWeight: (tenant) =>
      parts.config.current()?.tables.routes.tenants[tenant]?.weight ?? 1,
  });
  const hopTransport = new HopTransport(tokens, {
    instanceId,
    nowMs,
    connectionsMaxCount: HOP_CONNECTIONS_MAX_COUNT,
  });
  const outbound = new OutboundService({
    ...parts,
    selector: new RandomSelector(new SeededRandom(incarnationEpochMs)),
    retries: new PerHopRetries(),
    transport: new LocalTransport(inbound, hopTransport, { instanceId }),
    chain,
    observer,
    keyClock,
  }, { nowMs });
  const entry = new EntryHandler({ config: parts.config, outbound }, { nowMs });
  const ownCalls = new EntryHandler(
    { config: parts.config, outbound, chain },
    { nowMs },
  );
  const hops = new HopHandler(inbound, tokens, {
    instanceId,
    incarnationEpochMs,
    nowMs,
  });
  const listeners = {
    callers: new Listener(open.track(
      "callers",
      gate.guard((request, response) => entry.handle(request, response)),
    )),
    hop: new Listener(open.track(
      "hop",
      (request, response) => hops.handle(request, response),
    )),
    outbound: new Listener(open.track(
      "outbound",
      gate.guard(
        (request, response) => ownCalls.handle(request, response),
        (request) =>
          chain.find(String(request.headers["goldcrest-request-id"])) !==
            undefined,
      ),
    )),
  };

  const attachment = new UpstreamAttachment({
    connect: connectUpstream,
    resize: (slotsCount) => admission?.resize(slotsCount),
    publish: publishUpstream,
  });
  const drain = new DrainController({
    refuseNewWork: () => {
      gate.close();
      inbound.drain();
    },
    acceptNewWork: () => {
      gate.reopen();
      publishUpstream(attachment.current);
    },
    notifyLeaving: () => log.info("Leaving: new work is refused"),
    notifyServing: () => log.info("Serving again"),
    notifyDrained: () => life.notify("drained"),
    openCount: () => open.count,
    nowMs,
  });
  const life = new DaemonLife({
    startDrain: () => drain.start(),
    reloadKeys: () =>
      reloadKeys({
        readKeys: given.readKeys ?? (() => settings.peers.keys),
        holders: [tokens],
        log,
      }),
    listOpen: () => ({
      count: open.count,
      first: open.list(CUT_LOG_MAX_COUNT),
    }),
    nowMs,
  }, {
    log,
    drainLimitMs: settings.drainLimitMs,
    signals: given.signals ?? never(),
  });
  const operator = new OperatorServer(
    new OperatorView({
      config: parts.config,
      life,
      drain,
      attachment,
      metrics,
      load: () => admission?.load(),
      controlStatus: readControlStatus,
    }, { instance: settings.instance, incarnationEpochMs }),
    { log },
  );
  const housekeeping = new Housekeeping({
    isConfigured: () => parts.config.current() !== undefined,
    notifyConfigured: () => life.notify("configured"),
    rotateLatencies: () => metrics.requests.rotate(),
    nowMs,
  });
  const loop = new EventLoop((part, error) =>
    log.error("Control event failed", { part, ...errorFields(error) })
  );
  loop.register(life);
  loop.register(drain);
  loop.register(housekeeping);

  let admission: FixedAdmission | undefined;
  let client: HttpUpstreamClient | undefined;

  function connectUpstream(announcement: Announcement): void {
    const rules = parts.config.current()?.tables.pools
      .pools[announcement.pool];
    // The former upstream finishes what it runs.
    void client?.close();
    client = new HttpUpstreamClient(announcement, {
      nowMs,
      refusalsNotRun: (pool) =>
        parts.config.current()?.tables.pools.pools[pool]
          ?.refusalsNotRun === true,
    });
    admission = new FixedAdmission({
      slotsCount: announcement.slotsCount,
      queueMaxCount: rules?.queueMaxCount ?? 0,
      queueAgeMaxMs: rules?.queueAgeMaxMs ?? 0,
    });
    inbound.attach({ pool: announcement.pool, client, admission });
  }

  function publishUpstream(announcement: Announcement | undefined): void {
    if (announcement === undefined || !drain.isServing) {
      inbound.drain();
      return;
    }
    inbound.undrain();
  }

  function readControlStatus(): ControlStatus {
    const config = parts.config.current();
    return {
      config: {
        generation: config?.generation ?? 0,
        digest: config?.digest ?? "",
        confirmedAgeMs: 0,
        applied: [],
      },
      members: [],
      leases: [],
    };
  }

  function readGauges(): GaugeValues {
    const load = admission?.load();
    return {
      goldcrest_in_flight: load?.inFlightCount ?? 0,
      goldcrest_limit: load?.limitCount ?? 0,
      goldcrest_queue_length: load?.queuedCount ?? 0,
      goldcrest_admission_level: load?.levelRank ?? 0,
      goldcrest_open_exchanges: open.count,
      goldcrest_config_generation: parts.config.current()?.generation ?? 0,
      goldcrest_draining: drain.isServing ? 0 : 1,
    };
  }

  async function listen(): Promise<BoundAddresses> {
    const { listeners: addresses } = settings;
    const bound = {
      callers: await listeners.callers.listen(addresses.callers),
      hop: await listeners.hop.listen(addresses.hop),
      outbound: await listeners.outbound.listen(addresses.outbound),
      operator: await operator.listen(addresses.operator),
    };
    loop.start();
    keyed.start();
    if (settings.upstream !== undefined) {
      attachment.announce(settings.upstream);
    }
    return bound;
  }

  async function destroy(): Promise<void> {
    keyed.stop();
    for (const listener of Object.values(listeners)) {
      listener.destroy();
    }
    operator.destroy();
    drain.close();
    await loop.stop();
    await hopTransport.close();
  }

  return {
    instanceId,
    incarnationEpochMs,
    ended: life.ended,
    attachUpstream: (announcement) => attachment.announce(announcement),
    listen,
    destroy,
  };
}
