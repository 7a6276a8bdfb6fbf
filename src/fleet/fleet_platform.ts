/** Interface through which a daemon uses its deployment platform. */
import type { Stream } from "most";
import type { StoredObject } from "../core/platform_client.ts";
import type { Instant } from "../decisions/tenants/elapsed_clock.ts";
import type { FleetConfig, UpstreamReport } from "../schemas/fleet_schema.ts";
import type { HeaderNames } from "./header_names.ts";
import type { MemberStore } from "./member_directory.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { ControlRequest } from "./control_listener.ts";

/** Decoded heartbeat. */
export type HeartbeatAnnouncement = {
  readonly kind: "heartbeat";
  /** Address of the upstream that it reports. */
  readonly address: Address;
  readonly report: UpstreamReport;
};

/** Decoded announcement of an upstream. */
export type Announcement =
  | HeartbeatAnnouncement
  | { readonly kind: "leave"; readonly upstreamId: string };

/** Header names, object store and formats of a deployment platform. */
export type FleetPlatform = {
  headers: HeaderNames;
  store: MemberStore;
  /** Stream of the store's configuration objects. */
  configObjects: Stream<StoredObject>;
  /**
   * Send times of the exact calls for the configuration that have succeeded,
   * each after the objects that the call returned.
   */
  configReads: Stream<Instant>;
  /** Reads the configuration exactly. Throws {@link PlatformError}. */
  readConfig: () => Promise<StoredObject | undefined>;
  /** Name of the object that holds the configuration. */
  configName: string;
  /** Decodes a configuration; throws when the value is not one. */
  decodeConfig: (value: unknown) => FleetConfig;
  /** Number of log lines that were dropped because their reader was slow. */
  droppedLinesCount: () => number;
  /**
   * Returns the id of the request that makes a downstream call with a given id;
   * undefined when the id does not tell it.
   */
  decodeParentId: (requestId: string) => string | undefined;
  /** Decodes an announcement; undefined when the request is not a valid one. */
  decodeAnnouncement: (request: ControlRequest) => Announcement | undefined;
};
