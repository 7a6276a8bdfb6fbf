/** Messages between daemons and the owners of the tenants' buckets. */

/** What a daemon wants and returns of one tenant. */
export type TenantAsk = {
  readonly tenantName: string;
  /** Requests that wait for a token. */
  readonly waitingCount: number;
  /** Tokens wanted for the stock. */
  readonly prefetchCount: number;
  /** Unused tokens that are returned. */
  readonly returnedCount: number;
  /** Tokens that the daemon brings from the owner that it has left. */
  readonly carriedCount: number;
};

/** Message of a daemon to an owner. */
export type CapAsk = {
  /** Random number of the daemon's process. */
  readonly processId: number;
  /** Increases with each message of the process to this owner. */
  readonly sequence: number;
  /** Monotonic time of the daemon, in ms; compared only with itself. */
  readonly sentAtMs: number;
  /** Members that the daemon knows, including itself. */
  readonly membersCount: number;
  /** Increases with each change of the list of leased tenants. */
  readonly listNumber: number;
  /**
   * Tenants whose share the daemon leases to the owner; undefined when the owner
   * has acknowledged the list.
   */
  readonly leasedTenants?: readonly string[];
  readonly tenants: readonly TenantAsk[];
};

/** What an owner grants of one tenant. */
export type TenantGrant = {
  readonly tenantName: string;
  readonly grantedCount: number;
  /** Requests that waited and get no token. */
  readonly deniedCount: number;
  /** Time until the bucket will have room, in ms; 0 when none was denied. */
  readonly roomInMs: number;
  /** Tokens that the daemon takes along, because it has left the owner. */
  readonly carriedCount: number;
};

/** Message of an owner to a daemon, the answer to a {@link CapAsk}. */
export type CapGrant = {
  readonly processId: number;
  readonly sequence: number;
  /** The list of leased tenants that the owner uses. */
  readonly listNumber: number;
  readonly tenants: readonly TenantGrant[];
};

/** Report of a daemon to an owner on requests that started late, or may do so. */
export type CapHeld = {
  /** Random number of the daemon's process. */
  readonly processId: number;
  /** Increases with each report of the process to this owner. */
  readonly sequence: number;
  /** Tenants with such requests; all others have none. */
  readonly tenants: readonly {
    readonly tenantName: string;
    /** See {@link HeldCharges}. */
    readonly heldCount: number;
  }[];
};
