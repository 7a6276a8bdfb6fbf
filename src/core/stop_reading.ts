/** Stops and continues reading of requests between reads of their socket. */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * Stops reading after the present read of the socket. The chunks of this read
 * are still delivered: Node.js runs ticks and microtasks after each of them, so
 * a pause of the stream would keep up to 10,900 of them in its queue, with 500
 * bytes each. A pause of the socket alone does not last, because the stream
 * resumes it.
 *
 * @param message Request whose body is being delivered.
 */
export function stopReading(message: IncomingMessage): void {
  // The stream calls this to resume its socket.
  message._read = () => {};
  message.socket.pause();
}

/**
 * Continues reading after {@link stopReading}.
 *
 * @param message Request whose body was stopped.
 */
export function continueReading(message: IncomingMessage): void {
  message._read = Object.getPrototypeOf(message)._read;
  message.socket.resume();
}

function pauseAgain(this: Socket): void {
  this.pause();
}

/**
 * Stops reading from a connection after the present read. The HTTP server
 * resumes the socket at the end of each request, so it is paused again.
 *
 * @param socket Connection of an HTTP server; nothing happens if it is stopped.
 */
export function stopConnection(socket: Socket): void {
  if (!socket.listeners("resume").includes(pauseAgain)) {
    socket.on("resume", pauseAgain);
    socket.pause();
  }
}

/**
 * Continues reading after {@link stopConnection}.
 *
 * @param socket Connection; nothing happens if it is not stopped.
 */
export function continueConnection(socket: Socket): void {
  if (socket.listeners("resume").includes(pauseAgain)) {
    socket.off("resume", pauseAgain);
    socket.resume();
  }
}
