/** Requests that run at the local upstream, to find the ones that make calls. */
import { ChurnMap } from "../core/churn_map.ts";
import { findHeader } from "./header_names.ts";
import type { ServedRequest } from "./served_request.ts";
import { SharedIds } from "./shared_ids.ts";

/**
 * Maximum steps of 1 ms by which a deadline is shortened to make it unique, so
 * that downstream calls can be assigned to the request with their deadline.
 */
const EXPIRY_STEPS_MAX_COUNT = 4;

/**
 * Distances from the deadline of a call at which that of its parent is found, in
 * ms. The deadline is computed from the time that was left when the call was
 * sent, so the way of the call, and that of the parent to the upstream, delay it.
 */
const EXPIRY_OFFSETS_MS = [0, -1, 1, -2, 2, -3, -4, -5, -6, -7, -8, -9, -10];

/**
 * Ids up to this length are keys of a map that retains removed keys. A caller
 * may send ids of any length, up to that of the header.
 */
const RETAINED_ID_MAX_LENGTH = 128;

/** Finds running requests by their ids and deadlines. */
export class RunningRequests {
  readonly #byExpiresAtMs = new ChurnMap<number, ServedRequest>();
  readonly #byRequestId = new ChurnMap<string, ServedRequest>();
  readonly #byLongRequestId = new Map<string, ServedRequest>();
  readonly #sharedIds = new SharedIds();
  readonly #tenantHeader: string;

  /**
   * @param tenantHeader Name of the header with the tenant, in lower case.
   */
  constructor(tenantHeader: string) {
    this.#tenantHeader = tenantHeader;
  }

  /**
   * Adds a request that is sent to the upstream, and chooses the deadline that
   * is sent with it, which is distinct where possible.
   *
   * @param served Request with its id.
   */
  add(served: ServedRequest): void {
    let expiryMs = Math.floor(served.expiresAtMs);
    for (
      let step = 0;
      step < EXPIRY_STEPS_MAX_COUNT &&
      this.#byExpiresAtMs.get(expiryMs) !== undefined;
      step++
    ) {
      expiryMs--;
    }
    served.sentExpiresAtMs = expiryMs;
    this.#addId(served);
    this.#byExpiresAtMs.set(expiryMs, served);
  }

  /**
   * Removes a request that no longer runs.
   *
   * @param served Request that was added.
   */
  remove(served: ServedRequest): void {
    if (this.#byExpiresAtMs.get(served.sentExpiresAtMs) === served) {
      this.#byExpiresAtMs.delete(served.sentExpiresAtMs);
    }
    this.#sharedIds.remove(served.requestId);
    const byRequestId = this.#mapFor(served.requestId);
    if (byRequestId.get(served.requestId) === served) {
      byRequestId.delete(served.requestId);
    }
  }

  /**
   * Finds a request by the id that its caller gave to it.
   *
   * @param requestId Id.
   * @returns The request; undefined when none has the id, or when requests of
   *   different tenants have it.
   */
  findById(requestId: string): ServedRequest | undefined {
    return this.#sharedIds.isAmbiguous(requestId)
      ? undefined
      : this.#mapFor(requestId).get(requestId);
  }

  /**
   * Finds the request that probably makes a downstream call. A call carries the
   * deadline that was sent to the upstream with the request.
   *
   * @param expiresAtMs Deadline of the call, as a monotonic time in ms.
   * @returns The request with the nearest deadline; undefined when none has one
   *   that is at most 10 ms earlier or 2 ms later.
   */
  findByExpiry(expiresAtMs: number): ServedRequest | undefined {
    const key = Math.round(expiresAtMs);
    for (const offsetMs of EXPIRY_OFFSETS_MS) {
      const served = this.#byExpiresAtMs.get(key + offsetMs);
      if (served !== undefined) {
        return served;
      }
    }
    return undefined;
  }

  #addId(served: ServedRequest): void {
    const { requestId } = served;
    const byRequestId = this.#mapFor(requestId);
    const running = byRequestId.get(requestId);
    if (running !== undefined || this.#sharedIds.has(requestId)) {
      this.#sharedIds.add(requestId, {
        running: running && this.#tenantOf(running),
        added: this.#tenantOf(served),
      });
    }
    byRequestId.set(requestId, served);
  }

  #tenantOf({ request }: ServedRequest): string | undefined {
    return findHeader(request.headers, this.#tenantHeader);
  }

  #mapFor(requestId: string) {
    return requestId.length > RETAINED_ID_MAX_LENGTH
      ? this.#byLongRequestId
      : this.#byRequestId;
  }
}
