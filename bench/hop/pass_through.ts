/**
 * Bare proxy for one hop: receives requests with Node's `http` and forwards
 * them with `undici`, both used as in the daemon, without other processing. The
 * argument is the origin to forward to; the ready line contains the port.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { type Dispatcher, Pool } from "undici";

// Same as the daemons' limit of connections to one endpoint.
const CONNECTIONS_MAX_COUNT = 64;

const pool = new Pool(process.argv[2] as string, {
  connections: CONNECTIONS_MAX_COUNT,
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
});

function relayTo(response: ServerResponse): Dispatcher.DispatchHandler {
  return {
    onRequestStart(controller) {
      response.on("drain", () => controller.resume());
      response.on("close", () => {
        if (!response.writableFinished) {
          controller.abort(new Error("The client closed the connection"));
        }
      });
    },
    onResponseStart(controller, status) {
      const rawHeaders = (controller.rawHeaders ?? []) as (Buffer | string)[];
      response.writeHead(status, rawHeaders.map(String));
    },
    onResponseData(controller, chunk) {
      if (!response.write(chunk)) {
        controller.pause();
      }
    },
    onResponseEnd() {
      response.end();
    },
    onResponseError() {
      response.destroy();
    },
  };
}

function passThrough(request: IncomingMessage, response: ServerResponse): void {
  const hasBody = request.headers["content-length"] !== undefined;
  pool.dispatch({
    path: request.url as string,
    method: request.method as "GET",
    headers: request.rawHeaders,
    body: hasBody ? request : null,
  }, relayTo(response));
}

const server = createServer({ noDelay: true, keepAliveTimeout: 60_000 });
server.on("request", passThrough);
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
