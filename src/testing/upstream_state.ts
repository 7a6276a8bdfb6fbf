/** State of an upstream, for tests of links. */
import type { UpstreamState } from "../schemas/link_schema.ts";

export const UPSTREAM_STATE: UpstreamState = {
  upstreamId: "u-1",
  isServing: true,
  isStopping: false,
  limitCount: 10,
  isCold: false,
  busyRatio: 0,
  refusedRatio: 0,
  configVersion: 1,
  isWatching: false,
  reservesRoom: true,
  calls: [],
};
