/** Stops and continues reading of a request body between reads of its socket. */
import type { IncomingMessage } from "node:http";

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
