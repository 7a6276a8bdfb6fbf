/** The design size (section 1.6 of the design page) and its limits. */

const S_PER_DAY = 86_400;

/** Size for which the page computes the cost of each role. */
export const DESIGN_SIZE = {
  endpointsCount: 26_000,
  servicesCount: 1_700,
  dataCentresCount: 30,
  regionsCount: 8,
  changesPerS: 15_000 / S_PER_DAY,
  failuresPerS: 91 / S_PER_DAY,
  restartsPerS: 3_000 / S_PER_DAY,
  /** The requirements give no rack size; 40 instances are assumed. */
  rackInstancesCount: 40,
  /** Assumed number of routes in the tables, 2.35 per service. */
  routesCount: 4_000,
} as const;

/** Endpoints of one data centre. */
export const DATA_CENTRE_MEMBERS_COUNT = Math.round(
  DESIGN_SIZE.endpointsCount / DESIGN_SIZE.dataCentresCount,
);

/** Endpoints of one region. */
export const REGION_MEMBERS_COUNT = Math.round(
  DESIGN_SIZE.endpointsCount / DESIGN_SIZE.regionsCount,
);

/** Limits that the users' requirements set. */
export const LIMITS = {
  coreRatio: 0.015,
  addedBytes: 32 * 1_048_576,
  bytesPerS: 8 * 1_024,
  platformWritesPerS: 400,
  platformCallsPerS: 2_000,
  configMs: 5_000,
  addedP99Ms: 1,
} as const;
