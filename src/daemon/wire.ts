/** The one module that constructs the parts of a daemon and connects them. */
import { SystemClock } from "../core/clock.ts";
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
import type { Announcement, Settings } from "../schemas/settings_schema.ts";
import { NullRequestObserver } from "../telemetry/request_observer.ts";

/** Parts that are given from outside. */
export type WireParts = {
  config: ConfigSource;
  directory: UpstreamDirectory;
  owners: OwnerHistory;
};

/** Bound addresses of a daemon's listeners. */
export type BoundAddresses = Record<keyof Settings["listeners"], Address>;

/** A daemon whose parts are connected. */
export type Daemon = {
  readonly incarnationEpochMs: number;
  /** Sets the upstream beside the daemon. */
  attachUpstream(announcement: Announcement): void;
  /** Binds all listeners. */
  listen(): Promise<Pick<BoundAddresses, "callers" | "hop" | "outbound">>;
  /** Closes all listeners at once. */
  destroy(): Promise<void>;
};

const HOP_CONNECTIONS_MAX_COUNT = 64;
const LEDGER_LIMITS = {
  entriesMaxCount: 200_000,
  answersMaxBytes: 16_777_216,
};

function wireKeyedGate(
  settings: Settings,
  parts: WireParts & {
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
 * @param parts Configuration and directory.
 * @returns The daemon, not yet listening.
 */
export function wireDaemon(settings: Settings, parts: WireParts): Daemon {
  const clock = new SystemClock();
  const nowMs = () => clock.monotonicMs();
  const incarnationEpochMs = clock.wallMs();
  const { id: instanceId } = settings.instance;
  const observer = new NullRequestObserver();
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
    callers: new Listener((request, response) =>
      entry.handle(request, response)
    ),
    hop: new Listener((request, response) => hops.handle(request, response)),
    outbound: new Listener((request, response) =>
      ownCalls.handle(request, response)
    ),
  };

  function attachUpstream(announcement: Announcement): void {
    const rules = parts.config.current()?.tables.pools
      .pools[announcement.pool];
    inbound.attach({
      pool: announcement.pool,
      client: new HttpUpstreamClient(announcement, {
        nowMs,
        refusalsNotRun: (pool) =>
          parts.config.current()?.tables.pools.pools[pool]
            ?.refusalsNotRun === true,
      }),
      admission: new FixedAdmission({
        slotsCount: announcement.slotsCount,
        queueMaxCount: rules?.queueMaxCount ?? 0,
        queueAgeMaxMs: rules?.queueAgeMaxMs ?? 0,
      }),
    });
  }

  async function listen() {
    keyed.start();
    return {
      callers: await listeners.callers.listen(settings.listeners.callers),
      hop: await listeners.hop.listen(settings.listeners.hop),
      outbound: await listeners.outbound.listen(settings.listeners.outbound),
    };
  }

  async function destroy(): Promise<void> {
    keyed.stop();
    for (const listener of Object.values(listeners)) {
      listener.destroy();
    }
    await hopTransport.close();
  }

  return { incarnationEpochMs, attachUpstream, listen, destroy };
}
