/** Requests of an HTTP server whose parser can be stopped between them. */
import { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

const stoppedSockets = new WeakSet<Socket>();
/** Requests that ask for another protocol, by the value that Node.js assigns. */
const upgradeRequests = new WeakSet<IncomingMessage>();

/**
 * Request of an HTTP server, for its option `IncomingMessage`. Node.js parses all
 * that it has read of a connection at once, and makes objects of several KB for
 * each request in it. It stops only behind a request that asks for another
 * protocol, and passes the connection to the event `upgrade`. On a stopped
 * connection each request counts as one, and on others only `CONNECT` does.
 */
export class StoppableMessage extends IncomingMessage {
  /** Whether the parser stops behind the head of this request. */
  get upgrade(): boolean {
    return stoppedSockets.has(this.socket) ||
      (this.method === "CONNECT" && upgradeRequests.has(this));
  }

  /** Assigned by Node.js before the method is known. */
  set upgrade(asksForUpgrade: boolean | null) {
    if (asksForUpgrade === true) {
      upgradeRequests.add(this);
    }
  }
}

/**
 * Stops the parser of a connection behind the head of its next request, which is
 * not handled. The answers to earlier requests are still sent; the last one must
 * close the connection. The server must use {@link StoppableMessage} and listen
 * to the event `upgrade`.
 *
 * @param socket Connection of an HTTP server.
 */
export function stopParsing(socket: Socket): void {
  stoppedSockets.add(socket);
}
