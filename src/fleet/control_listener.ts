/** HTTP listener for readiness checks, announcements and metrics. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { listenOn } from "../core/listen_on.ts";
import type { Address } from "../schemas/common_schema.ts";

/** A control request with its complete body. */
export type ControlRequest = {
  readonly method: string;
  readonly url: string;
  readonly body: string;
};

/** Answer to a control request. */
export type ControlAnswer = {
  readonly status: number;
  readonly contentType?: string;
  readonly body: string;
};

/** Maximum length of a body. The connection of a longer request is closed. */
const BODY_MAX_BYTES = 65_536;

/** Handles one control request. */
type ControlHandler = (
  request: ControlRequest,
) => ControlAnswer | Promise<ControlAnswer>;

/** Reads a body; undefined when it is too long. Throws when it is aborted. */
async function readBody(message: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > BODY_MAX_BYTES) {
      return undefined;
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, bytes).toString();
}

/** Reads the body of each HTTP request and sends the answer of its handler. */
export class ControlListener {
  readonly #server: Server;

  /**
   * @param handle Returns the answer to a request.
   */
  constructor(handle: ControlHandler) {
    this.#server = createServer((message, response) => {
      // Reading a part of the body detaches the message from its socket.
      const { socket } = message;
      respond(message, response, handle).then(
        (isAnswered) => isAnswered || socket.destroy(),
        // A caller that breaks off its request gets no answer.
        () => socket.destroy(),
      );
    });
  }

  /**
   * Starts to listen.
   *
   * @param address Address to bind.
   * @returns The bound address.
   * @throws When the address cannot be bound.
   */
  listen(address: Address): Promise<Address> {
    return listenOn(this.#server, address);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Answers a request. Returns false, without an answer, if it is too long. */
async function respond(
  message: IncomingMessage,
  response: ServerResponse,
  handle: ControlHandler,
): Promise<boolean> {
  const body = await readBody(message);
  if (body === undefined) {
    return false;
  }
  const { method = "GET", url = "/" } = message;
  const answer = await handle({ method, url, body });
  response.writeHead(answer.status, {
    "content-type": answer.contentType ?? "application/json",
    "content-length": Buffer.byteLength(answer.body),
  });
  response.end(answer.body);
  return true;
}
