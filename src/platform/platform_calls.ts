/** Mapping between platform calls and HTTP answers. */
import type { Dispatcher } from "undici";
import {
  PlatformError,
  type PutCondition,
  type PutResult,
} from "../core/platform_client.ts";

/** Codes of errors that occur before a request is sent. */
const UNSENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const OK = 200;
const NOT_FOUND = 404;
const PRECONDITION_FAILED = 412;
const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR_MIN = 500;

/**
 * Returns whether a status shows an outage or overload of the platform.
 *
 * @param status HTTP status.
 * @returns True for a refusal by rate limit and for server errors.
 */
export function isOutageStatus(status: number): boolean {
  return status === TOO_MANY_REQUESTS || status >= SERVER_ERROR_MIN;
}

/**
 * Creates the error of a call that got no usable answer.
 *
 * @param error Error of the HTTP client.
 * @param isWrite Whether the call was a write.
 * @returns Error that states whether the write may have taken effect.
 */
export function createExchangeError(
  error: unknown,
  isWrite: boolean,
): PlatformError {
  const { code, message } = error as NodeJS.ErrnoException;
  const mayHaveArrived = code === undefined || !UNSENT_CODES.has(code);
  return new PlatformError(
    isWrite && mayHaveArrived ? "unknown" : "not-applied",
    `Platform does not answer: ${message}${code ? ` (${code})` : ""}`,
  );
}

/**
 * Creates the error of an answer that is neither a success nor an expected
 * refusal.
 *
 * @param status HTTP status.
 * @param isWrite Whether the call was a write.
 * @returns Error; `unknown` for a write that got a server error, since it may
 * have taken effect.
 */
export function createStatusError(
  status: number,
  isWrite: boolean,
): PlatformError {
  const mayHaveApplied = isWrite && status >= SERVER_ERROR_MIN;
  return new PlatformError(
    mayHaveApplied ? "unknown" : "not-applied",
    `Platform answers with status ${status}`,
  );
}

/**
 * Reads the version from the headers of an answer.
 *
 * @param headers Headers of the answer.
 * @returns Version.
 * @throws {PlatformError} When the header is missing or malformed.
 */
export function readVersion(headers: Dispatcher.ResponseData["headers"]) {
  const match = /^"(\d+)"$/.exec(String(headers.etag));
  if (match === null) {
    throw new PlatformError("unknown", "Platform answers without a version");
  }
  return Number(match[1]);
}

/**
 * Encodes the condition of a write.
 *
 * @param condition Version that the write replaces.
 * @returns Request headers.
 */
export function encodeCondition(
  condition: PutCondition,
): Record<string, string> {
  const { expectedVersion } = condition;
  return expectedVersion === "absent"
    ? { "if-none-match": "*" }
    : { "if-match": `"${expectedVersion}"` };
}

/**
 * Interprets the answer to a write.
 *
 * @param answer Status and headers.
 * @returns New version or a conflict.
 * @throws {PlatformError} On any other answer.
 */
export function readPutAnswer(
  answer: Pick<Dispatcher.ResponseData, "statusCode" | "headers">,
): PutResult {
  if (answer.statusCode === OK) {
    return { kind: "written", version: readVersion(answer.headers) };
  }
  if (answer.statusCode === PRECONDITION_FAILED) {
    return { kind: "conflict" };
  }
  throw createStatusError(answer.statusCode, true);
}

/**
 * Checks the status of a read.
 *
 * @param status HTTP status.
 * @returns False when the object does not exist.
 * @throws {PlatformError} On any other answer.
 */
export function checkGetStatus(status: number): boolean {
  if (status === NOT_FOUND) {
    return false;
  }
  if (status !== OK) {
    throw createStatusError(status, false);
  }
  return true;
}
