// Stand-in for an application endpoint, as PROTOCOL.md describes one.
import { createServer } from "node:http";
import { randomBytes } from "node:crypto";

const RUN_DEFAULT = { workMs: 5, body: "the endpoint's bytes" };

/** Endpoint that records what it ran. */
export class Endpoint {
  constructor({ id, service, slots }) {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.runs = [];
    this.runningCount = 0;
    this.isLeaving = false;
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
    const timer = setTimeout(() => {
      run.outcome = "answered";
      this.runningCount--;
      this.#answer(response, 200, {
        "attempt-id": run.requestId,
        "server-seal": `${randomBytes(4).toString("hex")}.${this.id}`,
        ...plan.headers,
      }, plan.body);
    }, plan.workMs);
    response.once("close", () => {
      if (run.outcome === "running") {
        run.outcome = "dropped";
        clearTimeout(timer);
        this.runningCount--;
      }
    });
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
