/** Stand-in for an application endpoint that follows the platform's pages. */
import { createServer } from "node:http";
import { text } from "node:stream/consumers";

const SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";

/** An endpoint that records the requests that it runs. */
export class Endpoint {
  #server;
  #runningCount = 0;
  #sequence = 0;
  #heartbeatTimer;
  isLeaving = false;
  /** Start of the endpoint, in ms since the epoch. */
  born = Date.now();
  /** Requests that it has begun to work on. */
  runs = [];
  /** Time that a request takes, in ms. */
  workMs = 150;

  constructor({ id, service, zone, slots, onRun = () => {} }) {
    Object.assign(this, { id, service, zone, slots, onRun });
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 10_000;
  }

  async listen() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.port = this.#server.address().port;
  }

  close() {
    clearInterval(this.#heartbeatTimer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Checks in at once, and then once per interval. */
  startHeartbeats(control, intervalMs) {
    this.control = control;
    const beat = () => this.checkIn().catch(() => {});
    this.#heartbeatTimer = setInterval(beat, intervalMs);
    return beat();
  }

  stopHeartbeats() {
    clearInterval(this.#heartbeatTimer);
  }

  /** Checks in with its state. Returns the status of the answer. */
  checkIn() {
    return postCheckIn(this.control, {
      id: this.id,
      body: {
        address: `127.0.0.1:${this.port}`,
        born: this.born,
        info: {
          service: this.service,
          version: "v1",
          zone: this.zone,
          slots: this.slots,
        },
        status: {
          state: this.isLeaving ? "draining" : "ready",
          sequence: ++this.#sequence,
          cold_remaining: "0ms",
        },
      },
    });
  }

  get sequence() {
    return this.#sequence;
  }

  get #load() {
    return `${this.#runningCount},0,${this.slots}`;
  }

  async #handle(request, response) {
    const headers = {
      "Instance-Id": this.id,
      "Server-Load": this.#load,
      "Keep-Alive": "timeout=10",
    };
    if (request.url === "/health") {
      response.writeHead(this.isLeaving ? 503 : 200, headers).end();
      return;
    }
    const attemptId = request.headers["attempt-id"];
    if (attemptId === undefined) {
      response.writeHead(400, { ...headers, "Not-Executed": "1" }).end();
      return;
    }
    const target = request.headers["target-instance"];
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, headers).end();
      return;
    }
    if (this.#runningCount >= this.slots) {
      response.writeHead(503, { ...headers, "Not-Executed": "1" }).end();
      return;
    }
    this.#runningCount++;
    const run = {
      atMs: Date.now(),
      endpoint: this.id,
      attemptId,
      url: request.url,
      tenant: request.headers["tenant-name"],
      isLeaving: this.isLeaving,
    };
    this.runs.push(run);
    this.onRun(run);
    let isClosed = false;
    response.once("close", () => isClosed = true);
    await text(request).catch(() => {});
    await new Promise((resolve) => setTimeout(resolve, this.workMs));
    this.#runningCount--;
    if (!isClosed) {
      response.writeHead(200, {
        "Attempt-Id": attemptId,
        "Server-Seal": SEAL,
        "Server-Load": this.#load,
      });
      response.end(`verdict of ${attemptId}`);
    }
  }
}

/** Sends a check-in. Returns the status of the answer. */
export async function postCheckIn({ host, port }, { id, body }) {
  const answer = await fetch(
    `http://${host}:${port}/v1/rpc?call=instances.heartbeat&of=${id}`,
    {
      method: "POST",
      headers: { "content-type": "application/json", connection: "close" },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(1_000),
    },
  );
  await answer.text();
  return answer.status;
}

/** Sends the announcement that an endpoint leaves. */
export async function postLeave({ host, port }, id) {
  const answer = await fetch(
    `http://${host}:${port}/v1/rpc?call=instances.deregister&of=${id}`,
    {
      method: "POST",
      headers: { connection: "close" },
      signal: AbortSignal.timeout(1_000),
    },
  );
  await answer.text();
  return answer.status;
}
