/** One upstream with its daemon's admission policy, in virtual time. */
import type {
  AdmissionPolicy,
  FinishedRequest,
} from "../../src/decisions/admission/admission_policy.ts";
import type { ErrorKind } from "../../src/errors/error_kinds.ts";
import type { EventQueue } from "./event_queue.ts";
import type { ClientTry } from "./metrics.ts";

const POLL_INTERVAL_MS = 10;

/** A request at an upstream. */
export type UpstreamRequest = {
  readonly client: ClientTry;
  readonly pool: string;
  readonly route: string;
  readonly rank: number;
  readonly tenant: string;
  readonly depthCount: number;
  /** Called when the upstream starts to work on the request. */
  onStart(request: UpstreamRequest): void;
  /** Called when the daemon refuses the request. */
  onRefused(error: ErrorKind): void;
  stage: "new" | "waiting" | "admitted" | "working" | "ended";
  admittedMs: number;
  workingMs: number;
  nestedMs: number;
};

/** An upstream that works on as many requests as it has slots. */
export class UpstreamModel {
  readonly id: string;
  readonly admission: AdmissionPolicy;
  readonly #events: EventQueue;
  readonly #slotsCount: number;
  readonly #waiting = new Map<number, UpstreamRequest>();
  /** Admitted requests that wait inside the upstream for a free slot. */
  #backlog: UpstreamRequest[] = [];
  #workingCount = 0;
  #nextTicket = 0;

  /**
   * @param id Instance id.
   * @param admission Admission policy of the upstream's daemon.
   * @param options Virtual time and slots.
   */
  constructor(
    id: string,
    admission: AdmissionPolicy,
    options: { events: EventQueue; slotsCount: number },
  ) {
    this.id = id;
    this.admission = admission;
    this.#events = options.events;
    this.#slotsCount = options.slotsCount;
    this.#pollLater();
  }

  /** Offers a request to the daemon. */
  offer(request: UpstreamRequest): void {
    const ticket = this.#nextTicket++;
    const { rank, tenant, depthCount, route, client } = request;
    const decision = this.admission.offer({
      ticket,
      rank,
      tenant,
      tenantWeight: 1,
      depthCount,
      route,
      deadlineMs: client.deadlineMs,
    }, this.#events.nowMs);
    client.onAbort.add(() => this.#abort(request, ticket));
    if (decision.kind === "refuse") {
      request.stage = "ended";
      request.onRefused(decision.error);
    } else if (decision.kind === "run") {
      this.#admit(request);
    } else {
      request.stage = "waiting";
      this.#waiting.set(ticket, request);
      this.#poll();
    }
  }

  /** Ends an admitted request and releases its slot. */
  end(request: UpstreamRequest, result: FinishedRequest["result"]): void {
    const { nowMs } = this.#events;
    if (request.stage === "working") {
      this.#workingCount--;
      request.client.addSlotTime(request.pool, nowMs - request.workingMs);
    }
    request.stage = "ended";
    this.admission.finish({
      latencyMs: nowMs - request.admittedMs,
      nestedMs: request.nestedMs,
      route: request.route,
      rank: request.rank,
      depthCount: request.depthCount,
      result,
    }, nowMs);
    this.#startBacklog();
    this.#poll();
  }

  #admit(request: UpstreamRequest): void {
    request.stage = "admitted";
    request.admittedMs = this.#events.nowMs;
    request.client.metrics.countAttempt(request.pool, this.#events.nowMs);
    this.#backlog.push(request);
    this.#startBacklog();
  }

  #startBacklog(): void {
    while (this.#workingCount < this.#slotsCount) {
      const request = this.#backlog.shift();
      if (request === undefined) {
        return;
      }
      if (request.stage === "admitted") {
        request.stage = "working";
        request.workingMs = this.#events.nowMs;
        this.#workingCount++;
        request.onStart(request);
      }
    }
  }

  #abort(request: UpstreamRequest, ticket: number): void {
    if (request.stage === "waiting") {
      request.stage = "ended";
      this.#waiting.delete(ticket);
      this.admission.cancel(ticket);
    } else if (request.stage !== "ended") {
      this.end(request, "cancelled");
    }
  }

  #poll(): void {
    for (const polled of this.admission.poll(this.#events.nowMs)) {
      const request = this.#waiting.get(polled.ticket);
      this.#waiting.delete(polled.ticket);
      if (request === undefined) {
        continue;
      }
      if (polled.decision.kind === "run") {
        this.#admit(request);
      } else {
        request.stage = "ended";
        request.onRefused(polled.decision.error);
      }
    }
  }

  #pollLater(): void {
    this.#events.after(POLL_INTERVAL_MS, () => {
      this.#poll();
      this.#pollLater();
    });
  }
}
