/** Stops and continues reading of a request body between reads of its socket. */
import type { IncomingMessage } from "node:http";

/**
 * Stops reading after the chunks of the present read have been delivered. A
 * pause in between would keep each of them in the queue of the stream, and a
 * pause of the socket alone does not last, because the stream resumes it.
 *
 * @param message Request whose body is being delivered.
 * @param onStopped Called once reading has stopped.
 */
export function stopReading(
  message: IncomingMessage,
  onStopped: () => void,
): void {
  // Microtasks run after the callbacks in which the stream resumes its socket.
  queueMicrotask(() => {
    message.pause();
    message.socket.pause();
    onStopped();
  });
}

/**
 * Continues reading after {@link stopReading}.
 *
 * @param message Request whose body was stopped.
 */
export function continueReading(message: IncomingMessage): void {
  message.resume();
  message.socket.resume();
}
