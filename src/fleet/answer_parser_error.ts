/** Answers of the listener for callers to bytes that are no request. */
import type { Socket } from "node:net";
import { errorAnswer } from "../errors/error_kinds.ts";

/** Error of the HTTP parser of Node.js. */
export type ParserError = Error & { code?: string };

/**
 * Answers a request that the HTTP parser rejected, and closes the connection.
 *
 * @param error Why it was rejected.
 * @param socket Connection of the request.
 */
export function answerParserError(error: ParserError, socket: Socket): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const kind = error.code === "HPE_HEADER_OVERFLOW"
    ? "header_too_large"
    : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? "header_timeout"
    : "bad_request";
  const { status, message } = errorAnswer(kind);
  socket.end(
    `HTTP/1.1 ${status} ${message}\r\ncontent-length: 0\r\n` +
      `connection: close\r\n\r\n`,
  );
}
