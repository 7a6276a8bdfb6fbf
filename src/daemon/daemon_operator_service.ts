/** Operator service of a daemon. */
import type { ConfigSource } from "../decisions/config_source.ts";
import type { LoadState } from "../decisions/admission/admission_policy.ts";
import type {
  OperatorService,
  Readiness,
} from "../operator/operator_service.ts";
import type { Announcement, Settings } from "../schemas/settings_schema.ts";
import type { Status } from "../schemas/status_schema.ts";
import type { Metrics } from "../telemetry/metrics.ts";
import type { DaemonLifecycle } from "./daemon_lifecycle.ts";
import type { DrainController } from "./drain_controller.ts";
import type { UpstreamAttachment } from "./upstream_attachment.ts";

/** Part of the status that the control plane provides. */
export type ControlStatus = Pick<Status, "config" | "members" | "leases">;

/** Parts of {@link DaemonOperatorService}. */
export type DaemonOperatorServiceParts = {
  config: ConfigSource;
  lifecycle: DaemonLifecycle;
  drain: DrainController;
  attachment: UpstreamAttachment;
  metrics: Metrics;
  /**
   * Load of the last announced upstream, also after its withdrawal; undefined
   * before the first announcement.
   */
  load: () => LoadState | undefined;
  /** State of the configuration, members and leases. */
  controlStatus: (options: { listsMembers: boolean }) => ControlStatus;
};

/** Options of {@link DaemonOperatorService}. */
export type DaemonOperatorServiceOptions = {
  instance: Settings["instance"];
  /** Identity of this daemon; the incarnation may be raised at run time. */
  identity: { readonly incarnationEpochMs: number };
};

const NO_LOAD = {
  levelRank: 0,
  inFlightCount: 0,
  limitCount: 0,
  queuedCount: 0,
};

/** Carries out the requests of operators on the parts of the daemon. */
export class DaemonOperatorService implements OperatorService {
  readonly #parts: DaemonOperatorServiceParts;
  readonly #options: DaemonOperatorServiceOptions;

  /**
   * @param parts Parts of the daemon.
   * @param options Identity of the daemon.
   */
  constructor(
    parts: DaemonOperatorServiceParts,
    options: DaemonOperatorServiceOptions,
  ) {
    this.#parts = parts;
    this.#options = options;
  }

  /** @inheritdoc */
  readiness(): Readiness {
    const { lifecycle, drain } = this.#parts;
    if (lifecycle.state === "starting") {
      return { ready: false, reason: "No configuration is in force" };
    }
    if (lifecycle.state !== "ready" || !drain.isServing) {
      return { ready: false, reason: "The instance is draining" };
    }
    return { ready: true };
  }

  /** @inheritdoc */
  status(options: { listsMembers: boolean }): Status {
    const { instance, identity } = this.#options;
    return {
      instanceId: instance.id,
      incarnationEpochMs: identity.incarnationEpochMs,
      dataCentre: instance.dataCentre,
      state: this.#state(),
      ...this.#parts.controlStatus(options),
      admission: this.#admission(),
      counters: this.#parts.metrics.requests.counters(),
    };
  }

  /** @inheritdoc */
  metricsText(): Promise<string> {
    return this.#parts.metrics.text();
  }

  /** @inheritdoc */
  drain(): void {
    this.#parts.drain.start();
  }

  /** @inheritdoc */
  undrain(): boolean {
    if (this.#parts.lifecycle.isEnding) {
      return false;
    }
    this.#parts.drain.cancel();
    return true;
  }

  /** @inheritdoc */
  announce(announcement: Announcement): void {
    this.#parts.attachment.announce(announcement);
  }

  /** @inheritdoc */
  withdraw(): void {
    this.#parts.attachment.withdraw();
  }

  #state(): Status["state"] {
    const { lifecycle, drain } = this.#parts;
    return lifecycle.state === "ready" && !drain.isServing
      ? "draining"
      : lifecycle.state;
  }

  #admission(): Status["admission"] {
    const load = this.#parts.load() ?? NO_LOAD;
    return {
      level: load.levelRank,
      inFlightCount: load.inFlightCount,
      limitCount: Math.round(load.limitCount),
      queueCount: load.queuedCount,
    };
  }
}
