/** Composition root of a daemon: constructs its parts and connects them. */
import { never } from "most";
import { SystemClock } from "../core/clock.ts";
import { EventLoop } from "../core/event_loop.ts";
import { hash32 } from "../core/hash.ts";
import { CONTROL_TICK_MS, InputDelay } from "../core/input_delay.ts";
import { SeededRandom } from "../core/random.ts";
import { StartQueue } from "../core/start_queue.ts";
import { timerStream } from "../core/timer_stream.ts";
import { KeyClock, KeyedAdmission } from "../decisions/keys/keyed_admission.ts";
import { MemoryLedger } from "../decisions/keys/memory_ledger.ts";
import { createPolicySet } from "../decisions/policy_set.ts";
import { OperatorServer } from "../operator/operator_server.ts";
import { CallerBounds } from "../proxy/caller_bounds.ts";
import { DataPath } from "../proxy/data_path.ts";
import { Listener } from "../proxy/listener.ts";
import type { Announcement, Settings } from "../schemas/settings_schema.ts";
import { errorFields, NullLogger } from "../telemetry/logger.ts";
import { Metrics } from "../telemetry/metrics.ts";
import { createControlPlane } from "./create_control_plane.ts";
import { daemonGauges } from "./daemon_gauges.ts";
import { DaemonLifecycle } from "./daemon_lifecycle.ts";
import { DaemonOperatorService } from "./daemon_operator_service.ts";
import type { BoundAddresses, Daemon, DaemonOptions } from "./daemon_types.ts";
import { DrainController } from "./drain_controller.ts";
import { DrainFilter } from "./drain_filter.ts";
import { FixedControlPlane } from "./fixed_control_plane.ts";
import { Housekeeping } from "./housekeeping.ts";
import { machineLimits } from "./machine_limits.ts";
import { OpenExchanges } from "./open_exchanges.ts";
import { reloadKeys } from "./reload_keys.ts";
import { UpstreamAttachment } from "./upstream_attachment.ts";
import { UpstreamConnector } from "./upstream_connector.ts";

const ABORTED_LOG_MAX_COUNT = 100;
const LEDGER_LIMITS = {
  entriesMaxCount: 200_000,
  answersMaxBytes: 16_777_216,
};

/**
 * Derives a seed from the instance id and start time, so that daemons draw
 * different random numbers.
 */
function randomSeed(settings: Settings, wallMs: number): number {
  return hash32(`${settings.instance.id} ${wallMs}`);
}

/**
 * Constructs all parts of a daemon and connects them.
 *
 * @param settings Validated settings.
 * @param options Parts that replace the defaults, and signals.
 * @returns The daemon; it does not listen yet.
 */
export function createDaemon(
  settings: Settings,
  options: DaemonOptions,
): Daemon {
  const log = options.log ?? new NullLogger();
  const clock = new SystemClock();
  const nowMs = () => clock.monotonicMs();
  const random = new SeededRandom(randomSeed(settings, clock.wallMs()));
  const inputDelay = new InputDelay();
  const bounds = new CallerBounds(machineLimits(settings.machine), log);
  const metrics = new Metrics(() =>
    daemonGauges({
      callerHeldBytes: bounds.memory.heldBytes,
      callerConnectionsCount: bounds.connectionsCount,
      inputDelayMs: inputDelay.measureMs(),
      load: connector.load(),
      openCount: openExchanges.count,
      isServing: drain.isServing,
      status: controlPlane.status({ listsMembers: true }),
    }), (reason) => bounds.refusals.countOf(reason));
  const keyClock = new KeyClock(() => clock.wallMs());
  const controlPlane =
    options.config === undefined || options.directory === undefined
      ? createControlPlane(settings, { clock, keyClock, random, log })
      : new FixedControlPlane({
        config: options.config,
        directory: options.directory,
        owners: options.owners,
        incarnationEpochMs: clock.wallMs(),
      });
  const { config, directory, owners } = controlPlane;
  const { id: instanceId } = settings.instance;
  const identity = {
    instanceId,
    get incarnationEpochMs() {
      return controlPlane.incarnationEpochMs;
    },
  };
  const openExchanges = new OpenExchanges(nowMs);
  const drainFilter = new DrainFilter();
  if (options.processMetrics === true) {
    metrics.collectProcessMetrics();
  }
  const policies = createPolicySet(settings.policy, {
    random,
    instance: settings.instance,
  });
  const ledger = new MemoryLedger(LEDGER_LIMITS);
  const dataPath = new DataPath({
    config,
    directory,
    owners,
    policies,
    ledger,
    admission: new KeyedAdmission(owners, ledger, {
      instanceId,
      dataCentre: settings.instance.dataCentre,
      startedEpochMs: clock.wallMs(),
      startedMs: nowMs(),
    }),
    keyClock,
    observer: metrics.requests,
    bounds,
    startQueue: new StartQueue(inputDelay),
    inputDelay,
  }, {
    identity,
    keys: settings.peers.keys,
    nowMs,
    wallMs: () => clock.wallMs(),
  });
  const { inbound } = dataPath;
  const listeners = {
    callers: new Listener(
      openExchanges.track(
        "callers",
        drainFilter.guard((request, response) =>
          dataPath.handleCall(request, response)
        ),
      ),
      bounds.limitsOf("callers"),
    ),
    // Has no drain filter: the inbound service itself refuses forwarded requests
    // during a drain.
    hop: new Listener(
      openExchanges.track(
        "hop",
        (request, response) => dataPath.handleHop(request, response),
      ),
      bounds.limitsOf("hop"),
    ),
    outbound: new Listener(
      openExchanges.track(
        "outbound",
        drainFilter.guard(
          (request, response) =>
            dataPath.handleLocalUpstreamCall(request, response),
          (request) => dataPath.belongsToRunningRequest(request),
        ),
      ),
      bounds.limitsOf("outbound"),
    ),
  };

  const connector = new UpstreamConnector({ config, policies, inbound, nowMs });
  const attachment = new UpstreamAttachment({
    connect: (announcement) => connector.connect(announcement),
    resize: (slotsCount) => connector.resize(slotsCount),
    publish: publishUpstream,
  });
  const drain = new DrainController({
    refuseNewWork: () => {
      drainFilter.refuseNewWork();
      inbound.drain();
    },
    acceptNewWork: () => {
      drainFilter.acceptNewWork();
      publishUpstream(attachment.current);
    },
    notifyLeaving: () => {
      log.info("Leaving: new work is refused");
      controlPlane.setLeaving(true);
    },
    notifyServing: () => {
      log.info("Serving again");
      controlPlane.setLeaving(false);
    },
    notifyDrained: () => lifecycle.notify("drained"),
    openCount: () => openExchanges.count,
    nowMs,
  });
  const lifecycle = new DaemonLifecycle({
    startDrain: () => drain.start(),
    reloadKeys: () =>
      reloadKeys({
        readKeys: options.readKeys ?? (() => settings.peers.keys),
        holders: [dataPath.tokens, ...controlPlane.keyHolders],
        log,
      }),
    listOpenExchanges: () => ({
      count: openExchanges.count,
      oldest: openExchanges.list(ABORTED_LOG_MAX_COUNT),
    }),
    nowMs,
  }, {
    log,
    drainLimitMs: settings.drainLimitMs,
    signals: options.signals ?? never(),
  });
  const operator = new OperatorServer(
    new DaemonOperatorService({
      config,
      lifecycle,
      drain,
      attachment,
      metrics,
      load: () => connector.load(),
      controlStatus: (query) => controlPlane.status(query),
    }, { instance: settings.instance, identity }),
    { log },
  );
  const housekeeping = new Housekeeping({
    configChanges: controlPlane.configChanges,
    isConfigured: () => config.current() !== undefined,
    notifyConfigured: () => lifecycle.notify("configured"),
    rotateLatencies: () => metrics.requests.rotate(),
  });
  const loop = new EventLoop((part, error) =>
    log.error("Control event failed", { part, ...errorFields(error) })
  );
  loop.register(lifecycle);
  loop.register(drain);
  loop.register(housekeeping);
  loop.register({
    name: "input delay",
    inputs: timerStream(CONTROL_TICK_MS),
    handle: () => void inputDelay.tick(),
  });
  loop.register({
    name: "rules in force",
    inputs: controlPlane.configChanges,
    handle: () => connector.configure(),
  });

  // Announces the upstream to the peers and accepts forwarded requests unless
  // the daemon drains. Without an announcement, withdraws the upstream and
  // refuses forwarded requests.
  function publishUpstream(announcement: Announcement | undefined): void {
    if (announcement === undefined) {
      inbound.drain();
      controlPlane.publish(undefined);
      return;
    }
    controlPlane.publish(announcement);
    if (drain.isServing) {
      inbound.undrain();
    }
  }

  async function listen(): Promise<BoundAddresses> {
    const { listeners: addresses } = settings;
    const bound = {
      callers: await listeners.callers.listen(addresses.callers),
      hop: await listeners.hop.listen(addresses.hop),
      outbound: await listeners.outbound.listen(addresses.outbound),
      peer: await controlPlane.listen(addresses.peer),
      operator: await operator.listen(addresses.operator),
    };
    controlPlane.join(loop, bound);
    loop.start();
    dataPath.start();
    if (settings.upstream !== undefined) {
      attachment.announce(settings.upstream);
    }
    return bound;
  }

  async function destroy(): Promise<void> {
    for (const listener of Object.values(listeners)) {
      listener.destroy();
    }
    operator.destroy();
    drain.close();
    await controlPlane.close();
    await loop.stop();
    await dataPath.close();
  }

  return {
    instanceId,
    get incarnationEpochMs() {
      return controlPlane.incarnationEpochMs;
    },
    ended: lifecycle.ended,
    attachUpstream: (announcement) => attachment.announce(announcement),
    listen,
    destroy,
  };
}
