/** Applies the newest configuration from the store or from a peer. */
import type { Stream } from "most";
import type { ControlPart } from "../core/event_loop.ts";
import type { StoredObject } from "../core/platform_client.ts";
import { FleetRoutes } from "../decisions/routing/fleet_routes.ts";
import {
  type FleetConfig,
  fleetConfigSchema,
} from "../schemas/fleet_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";

/** Options of {@link ConfigFollower}. */
export type ConfigFollowerOptions = {
  /** Stream of the store's configuration objects. */
  objects: Stream<StoredObject>;
  /** Name of the object that holds the configuration. */
  objectName: string;
  /** Decodes the object's value; throws when it is not a configuration. */
  decode: (value: unknown) => FleetConfig;
  log: Logger;
  /** Called each time after a configuration was applied. */
  onApplied: (routes: FleetRoutes) => void;
};

/**
 * Applies each configuration whose version is higher than that in force. Older
 * ones that arrive late, from the store or from a peer, are ignored.
 */
export class ConfigFollower implements ControlPart<StoredObject> {
  readonly name = "configuration";
  readonly inputs: Stream<StoredObject>;
  readonly #options: ConfigFollowerOptions;
  #routes: FleetRoutes | undefined;
  /** Store version of the newest object that could not be decoded. */
  #unusableVersion: number | undefined;
  /** Monotonic time at which the configuration was applied, in ms. */
  appliedAtMs = 0;

  /**
   * @param options Source, decoder, logger and callback.
   */
  constructor(options: ConfigFollowerOptions) {
    this.#options = options;
    this.inputs = options.objects;
  }

  /** Routes in force; undefined before the first configuration. */
  get routes(): FleetRoutes | undefined {
    return this.#routes;
  }

  /** Version in force; 0 before the first configuration. */
  get version(): number {
    return this.#routes?.config.version ?? 0;
  }

  /**
   * Whether the store holds a configuration that could not be decoded. An older
   * object that arrives late does not change it.
   */
  get hasUnusable(): boolean {
    return this.#unusableVersion !== undefined;
  }

  /** @inheritdoc */
  handle(object: StoredObject): void {
    if (
      object.name !== this.#options.objectName || object.value === undefined
    ) {
      return;
    }
    try {
      const config = this.#options.decode(object.value);
      if (object.version >= (this.#unusableVersion ?? 0)) {
        this.#unusableVersion = undefined;
      }
      this.#apply(config, "store");
    } catch (error) {
      this.#unusableVersion = object.version;
      this.#options.log.error("Configuration of the store is not usable", {
        storeVersion: object.version,
        ...errorFields(error),
      });
    }
  }

  /**
   * Applies a configuration from a peer if it is valid and newer.
   *
   * @param value Content of the peer's frame.
   */
  applyFromPeer(value: unknown): void {
    const result = fleetConfigSchema.safeParse(value);
    if (result.success) {
      this.#apply(result.data, "peer");
    } else if (value !== null) {
      this.#options.log.warn(
        "Configuration of a peer is not usable",
        errorFields(result.error),
      );
    }
  }

  #apply(config: FleetConfig, source: "store" | "peer"): void {
    if (config.version <= this.version) {
      this.#reportOlder(config.version, source);
      return;
    }
    const lastVersion = this.version;
    this.#routes = new FleetRoutes(config);
    this.appliedAtMs = performance.now();
    this.#options.log.info("Configuration in force", {
      version: config.version,
      lastVersion,
      source,
      routesCount: config.routes.length,
    });
    this.#options.onApplied(this.#routes);
  }

  /** Logs an older configuration of the store, which shows that it lost one. */
  #reportOlder(version: number, source: "store" | "peer"): void {
    if (source === "store" && version < this.version) {
      this.#options.log.warn("Configuration of the store is older", {
        version,
        lastVersion: this.version,
      });
    }
  }
}
