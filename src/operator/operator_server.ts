/** HTTP listener for operators and for announcements of the upstream. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { listenOn } from "../core/listen_on.ts";
import { InputError } from "../errors/input_error.ts";
import { parseJsonc } from "../schemas/parse_jsonc.ts";
import type { Address } from "../schemas/common_schema.ts";
import { announcementSchema } from "../schemas/settings_schema.ts";
import { statusSchema } from "../schemas/status_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import type { OperatorService } from "./operator_service.ts";
import { BodyTooLargeError, readBodyText } from "./read_body_text.ts";

type Answer = {
  readonly status: number;
  readonly body: unknown;
  /** Media type; JSON when absent. */
  readonly type?: string;
};
type RouteHandler = (request: IncomingMessage) => Answer | Promise<Answer>;

const ANNOUNCEMENT_MAX_BYTES = 16_384;
const TOO_LARGE_STATUS = 413;
const REQUEST_TIMEOUT_MS = 10_000;
const METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

function ok(body: unknown): Answer {
  return { status: 200, body };
}

function failureAnswer(error: unknown): Answer {
  if (error instanceof InputError) {
    return { status: 400, body: { mistakes: error.mistakes } };
  }
  if (error instanceof BodyTooLargeError) {
    return { status: TOO_LARGE_STATUS, body: { error: error.message } };
  }
  return { status: 500, body: { error: "Internal error" } };
}

/**
 * Serves `/healthz`, `/readyz`, `/status`, `/metrics`, `/drain`, `/undrain`
 * and `/announce`.
 *
 * @example
 * const server = new OperatorServer(service, { log });
 * const address = await server.listen({ host: "127.0.0.1", port: 0 });
 */
export class OperatorServer {
  readonly #service: OperatorService;
  readonly #log: Logger;
  readonly #server: Server;
  readonly #routes: ReadonlyMap<string, ReadonlyMap<string, RouteHandler>>;

  /**
   * @param service Operations of the daemon.
   * @param options Log.
   */
  constructor(service: OperatorService, options: { log: Logger }) {
    this.#service = service;
    this.#log = options.log;
    this.#server = createServer({
      requestTimeout: REQUEST_TIMEOUT_MS,
      headersTimeout: REQUEST_TIMEOUT_MS,
    }, (request, response) => void this.#handle(request, response));
    this.#routes = this.#createRoutes();
  }

  /**
   * Binds the listener.
   *
   * @param address Address to bind; port 0 lets the system choose.
   * @returns The bound address.
   * @throws When the address cannot be bound.
   */
  listen(address: Address): Promise<Address> {
    return listenOn(this.#server, address);
  }

  /** Closes the listener and all its connections. */
  destroy(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #createRoutes(): ReadonlyMap<string, ReadonlyMap<string, RouteHandler>> {
    const service = this.#service;
    return new Map([
      ["/healthz", new Map([["GET", () => ok({ healthy: true })]])],
      ["/readyz", new Map([["GET", () => this.#readiness()]])],
      ["/status", new Map([["GET", (request) => this.#status(request)]])],
      ["/metrics", new Map([["GET", () => this.#metrics()]])],
      ["/drain", new Map([["POST", () => this.#drain()]])],
      ["/undrain", new Map([["POST", () => this.#undrain()]])],
      [
        "/announce",
        new Map<string, RouteHandler>([
          ["POST", (request) => this.#announce(request)],
          ["DELETE", () => {
            service.withdraw();
            return ok({ announced: false });
          }],
        ]),
      ],
    ]);
  }

  #readiness(): Answer {
    const readiness = this.#service.readiness();
    return { status: readiness.ready ? 200 : 503, body: readiness };
  }

  #status({ url = "" }: IncomingMessage): Answer {
    const query = url.split("?", 2)[1];
    const members = new URLSearchParams(query).get("members") ?? "all";
    if (members !== "all" && members !== "none") {
      const error = 'Query "members" must be "all" or "none"';
      return { status: 400, body: { error } };
    }
    const listsMembers = members === "all";
    return ok(statusSchema.parse(this.#service.status({ listsMembers })));
  }

  async #metrics(): Promise<Answer> {
    const body = await this.#service.metricsText();
    return { status: 200, body, type: METRICS_TYPE };
  }

  #drain(): Answer {
    this.#service.drain();
    this.#log.info("Drain requested by an operator");
    return { status: 202, body: { draining: true } };
  }

  #undrain(): Answer {
    if (!this.#service.undrain()) {
      return { status: 409, body: { error: "The process is ending" } };
    }
    this.#log.info("Drain cancelled by an operator");
    return { status: 202, body: { draining: false } };
  }

  async #announce(request: IncomingMessage): Promise<Answer> {
    const text = await readBodyText(request, {
      maxBytes: ANNOUNCEMENT_MAX_BYTES,
    });
    const announcement = parseJsonc(text, announcementSchema, {
      source: "announcement",
    });
    this.#service.announce(announcement);
    return ok({ announced: true });
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = (request.url ?? "").split("?", 1)[0] ?? "";
    const methods = this.#routes.get(path);
    const handler = methods?.get(request.method ?? "");
    if (methods === undefined) {
      this.#send(response, { status: 404, body: { error: "Unknown path" } });
      return;
    }
    if (handler === undefined) {
      response.setHeader("allow", [...methods.keys()].join(", "));
      const body = { error: "Method is not allowed" };
      this.#send(response, { status: 405, body });
      return;
    }
    try {
      this.#send(response, await handler(request));
    } catch (error) {
      const answer = failureAnswer(error);
      if (answer.status === 500) {
        this.#log.error("Operator request failed", {
          path,
          ...errorFields(error),
        });
      }
      this.#send(response, answer);
    }
  }

  #send(response: ServerResponse, answer: Answer): void {
    if (answer.status === TOO_LARGE_STATUS) {
      // The rest of the body was not read, so the connection cannot be reused.
      response.shouldKeepAlive = false;
    }
    const text = typeof answer.body === "string"
      ? answer.body
      : `${JSON.stringify(answer.body)}\n`;
    response.writeHead(answer.status, {
      "content-type": answer.type ?? "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }
}
