/** One upstream with its daemon's admission, under virtual time. */
import type {
  AdmissionPolicy,
  FinishedRequest,
} from "../../src/decisions/admission_policy.ts";
import type { ErrorKind } from "../../src/errors/error_kinds.ts";
import type { EventQueue } from "./event_queue.ts";
import type { ClientTry } from "./metrics.ts";

const POLL_INTERVAL_MS = 10;

/** A request at an upstream. */
export type Visit = {
  readonly client: ClientTry;
  readonly pool: string;
  readonly route: string;
  readonly rank: number;
  readonly tenant: string;
  readonly depthCount: number;
  /** Called when the upstream begins to work. */
  work(visit: Visit): void;
  /** Called when the daemon refuses the request. */
  refused(error: ErrorKind): void;
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
  readonly #waiting = new Map<number, Visit>();
  /** Requests beyond the slots, which the upstream holds in its own backlog. */
  #backlog: Visit[] = [];
  #workingCount = 0;
  #nextTicket = 0;

  /**
   * @param id Instance id.
   * @param admission Admission of the daemon beside the upstream.
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
  offer(visit: Visit): void {
    const ticket = this.#nextTicket++;
    const { rank, tenant, depthCount, route, client } = visit;
    const decision = this.admission.offer({
      ticket,
      rank,
      tenant,
      tenantWeight: 1,
      depthCount,
      route,
      deadlineMs: client.deadlineMs,
    }, this.#events.nowMs);
    client.onAbort.add(() => this.#abort(visit, ticket));
    if (decision.kind === "refuse") {
      visit.stage = "ended";
      visit.refused(decision.error);
    } else if (decision.kind === "run") {
      this.#admit(visit);
    } else {
      visit.stage = "waiting";
      this.#waiting.set(ticket, visit);
      this.#poll();
    }
  }

  /** Ends a request that was working. */
  end(visit: Visit, result: FinishedRequest["result"]): void {
    const { nowMs } = this.#events;
    if (visit.stage === "working") {
      this.#workingCount--;
      visit.client.addSlotTime(visit.pool, nowMs - visit.workingMs);
    }
    visit.stage = "ended";
    this.admission.finish({
      latencyMs: nowMs - visit.admittedMs,
      nestedMs: visit.nestedMs,
      route: visit.route,
      rank: visit.rank,
      depthCount: visit.depthCount,
      result,
    }, nowMs);
    this.#startBacklog();
    this.#poll();
  }

  #admit(visit: Visit): void {
    visit.stage = "admitted";
    visit.admittedMs = this.#events.nowMs;
    visit.client.metrics.countAttempt(visit.pool, this.#events.nowMs);
    this.#backlog.push(visit);
    this.#startBacklog();
  }

  #startBacklog(): void {
    while (this.#workingCount < this.#slotsCount) {
      const visit = this.#backlog.shift();
      if (visit === undefined) {
        return;
      }
      if (visit.stage === "admitted") {
        visit.stage = "working";
        visit.workingMs = this.#events.nowMs;
        this.#workingCount++;
        visit.work(visit);
      }
    }
  }

  #abort(visit: Visit, ticket: number): void {
    if (visit.stage === "waiting") {
      visit.stage = "ended";
      this.#waiting.delete(ticket);
      this.admission.cancel(ticket);
    } else if (visit.stage !== "ended") {
      this.end(visit, "cancelled");
    }
  }

  #poll(): void {
    for (const polled of this.admission.poll(this.#events.nowMs)) {
      const visit = this.#waiting.get(polled.ticket);
      this.#waiting.delete(polled.ticket);
      if (visit === undefined) {
        continue;
      }
      if (polled.decision.kind === "run") {
        this.#admit(visit);
      } else {
        visit.stage = "ended";
        visit.refused(polled.decision.error);
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
