// Stand-in for an application endpoint, as PROTOCOL.md describes one.
import { createServer } from "node:http";
import { randomBytes } from "node:crypto";
import { send } from "./client.mjs";

const RUN_DEFAULT = {
  workMs: 5,
  status: 200,
  body: "the endpoint's bytes",
};

/** Endpoint that records what it ran. */
export class Endpoint {
  constructor({ id, service, slots }) {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.runs = [];
    this.runningCount = 0;
    this.isLeaving = false;
    /** Address for the calls of its runs. */
    this.outbound = undefined;
    /** Chooses work time, body and added headers of the answer to a request. */
    this.chooseRun = () => RUN_DEFAULT;
    this.sockets = new Set();
    this.server = createServer((message, response) =>
      this.#receive(message, response)
    );
    this.server.keepAliveTimeout = 10_000;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
  }

  listen(host, port) {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen({ host, port }, resolve);
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  #receive(message, response) {
    const chunks = [];
    message.on("data", (chunk) => chunks.push(chunk));
    message.on("end", () => {
      if (message.url === "/health") {
        this.#answer(response, this.isLeaving ? 503 : 200, {
          "instance-id": this.id,
        }, "");
        return;
      }
      this.#run(message, response, Buffer.concat(chunks));
    });
  }

  #run(message, response, body) {
    const { headers } = message;
    if (headers["target-instance"] !== this.id) {
      this.#answer(response, 421, { "instance-id": this.id }, "");
      return;
    }
    if (this.runningCount >= this.slots) {
      this.#answer(response, 503, { "not-executed": "1" }, "");
      return;
    }
    const run = {
      requestId: headers["attempt-id"],
      method: message.method,
      path: message.url,
      bodyBytes: body.length,
      atMs: performance.now(),
      outcome: "running",
    };
    this.runs.push(run);
    this.runningCount++;
    const plan = { ...RUN_DEFAULT, ...this.chooseRun(run) };
    const deadlineMs = performance.now() + Number(headers["deadline-ms"]);
    const timer = setTimeout(async () => {
      const hasCalls = await this.#makeCalls(run, plan.calls, deadlineMs);
      if (run.outcome !== "running") {
        return;
      }
      run.outcome = hasCalls ? "answered" : "failed";
      this.runningCount--;
      this.#answer(response, hasCalls ? plan.status : 500, {
        "attempt-id": run.requestId,
        "server-seal": `${randomBytes(4).toString("hex")}.${this.id}`,
        ...plan.headers,
      }, hasCalls ? plan.body : "");
    }, plan.workMs);
    response.once("close", () => {
      if (run.outcome === "running") {
        run.outcome = "dropped";
        clearTimeout(timer);
        this.runningCount--;
      }
    });
  }

  /**
   * Makes the calls of a run through the daemon beside the endpoint, at the same
   * time. Resolves with whether all of them succeeded.
   */
  async #makeCalls({ requestId }, calls = [], deadlineMs) {
    const answers = await Promise.all(
      calls.map(({ host, path }) =>
        send({ outbound: this.outbound }, {
          id: `${requestId}.${randomBytes(8).toString("hex")}`,
          host,
          path,
          deadlineMs: Math.max(1, Math.floor(deadlineMs - performance.now())),
        })
      ),
    );
    return answers.every(({ status, isComplete }) =>
      status === 200 && isComplete
    );
  }

  #answer(response, status, headers, body) {
    response.writeHead(status, {
      "server-load": `${this.runningCount},0,${this.slots}`,
      "content-length": Buffer.byteLength(body),
      ...headers,
    });
    // With a buffer as the body, Node.js sends the head byte by byte as given.
    response.end(Buffer.from(body));
  }
}
