/** Ids under which requests of different tenants run. */

/** Running requests with one id. */
type IdUse = {
  runningCount: number;
  readonly tenantName: string | undefined;
  /** Whether requests of different tenants have the id. */
  isShared: boolean;
};

/**
 * Tracks the ids that several running requests have. A caller gives each request
 * an id of its own, but another caller may use the same one, and would get the
 * calls of the first.
 */
export class SharedIds {
  readonly #uses = new Map<string, IdUse>();

  /**
   * Counts a request whose id a running one has.
   *
   * @param requestId Id of both.
   * @param tenants Tenants of the running request and of the new one.
   */
  add(
    requestId: string,
    { running, added }: {
      running: string | undefined;
      added: string | undefined;
    },
  ): void {
    const use = this.#uses.get(requestId) ??
      { runningCount: 1, tenantName: running, isShared: false };
    this.#uses.set(requestId, use);
    use.runningCount++;
    use.isShared ||= added !== use.tenantName;
  }

  /**
   * Removes a request that no longer runs.
   *
   * @param requestId Its id.
   */
  remove(requestId: string): void {
    const use = this.#uses.get(requestId);
    if (use === undefined) {
      return;
    }
    use.runningCount--;
    if (use.runningCount === 0) {
      this.#uses.delete(requestId);
    }
  }

  /**
   * Returns whether several requests with an id run, or have run since one of
   * them began.
   *
   * @param requestId Id.
   * @returns False for an id that only one request has had.
   */
  has(requestId: string): boolean {
    return this.#uses.has(requestId);
  }

  /**
   * Returns whether an id does not tell whose calls name it.
   *
   * @param requestId Id.
   * @returns True while a request runs with an id that another tenant has used.
   */
  isAmbiguous(requestId: string): boolean {
    return this.#uses.get(requestId)?.isShared ?? false;
  }
}
