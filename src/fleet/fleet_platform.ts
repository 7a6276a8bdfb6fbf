/** What the adapter of a platform supplies to a daemon. */
import type { Stream } from "most";
import type { StoredObject } from "../core/platform_client.ts";
import type { FleetConfig, UpstreamReport } from "../schemas/fleet_schema.ts";
import type { HeaderNames } from "./header_names.ts";
import type { MemberStore } from "./member_directory.ts";
import type { ControlCall } from "./control_listener.ts";

/** What an upstream announces. */
export type Announcement =
  | { readonly kind: "heartbeat"; readonly report: UpstreamReport }
  | { readonly kind: "leave"; readonly upstreamId: string };

/** Names, formats and calls of a platform. */
export type FleetPlatform = {
  headers: HeaderNames;
  store: MemberStore;
  configObjects: Stream<StoredObject>;
  /** Name of the object that holds the configuration. */
  configName: string;
  /** Decodes a configuration; throws when it is none. */
  decodeConfig: (value: unknown) => FleetConfig;
  /** Log lines that nobody read in time. */
  droppedLinesCount: () => number;
  /** Decodes a call of the upstream; undefined for an unknown one. */
  decodeAnnouncement: (call: ControlCall) => Announcement | undefined;
};
