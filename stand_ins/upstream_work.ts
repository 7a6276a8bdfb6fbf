/** Work of one request in the upstream stand-in. */
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { request as sendRequest } from "undici";
import { answerBytes } from "./answer_body.ts";
import type { RequestRecord, UpstreamBehaviour } from "./upstream_settings.ts";

const CHUNK_BYTES = 65_536;
const MS_PER_S = 1_000;

/** Answer that a request asks for in the query of its path. */
export type AnswerSpec = {
  readonly token: string;
  /** Length of the body, in bytes. */
  readonly lengthBytes: number;
  readonly chunked: boolean;
  /** Largest transfer rate of the body; 0 for no limit. */
  readonly bytesPerS: number;
  /** Status of the answer. */
  readonly status: number;
};

/** Error of a call that the next service answered with status 400 or more. */
export class NextCallError extends Error {
  /** Status of the next service's answer. */
  readonly status: number;

  /**
   * @param status Status of the next service's answer.
   */
  constructor(status: number) {
    super(`The next service answered ${status}`);
    this.name = "NextCallError";
    this.status = status;
  }
}

/**
 * Parses the answer that a request asks for.
 *
 * @param url Path with query: `token`, `bytes`, `chunked`, `bytesPerS`, `status`.
 * @returns The answer to send, with defaults for absent parameters.
 *
 * @example
 * parseAnswerSpec("/files/7?token=a1&bytes=50000000&chunked=1");
 */
export function parseAnswerSpec(url: string): AnswerSpec {
  const { searchParams } = new URL(url, "http://upstream");
  return {
    token: searchParams.get("token") ?? "",
    lengthBytes: Number(searchParams.get("bytes") ?? 64),
    chunked: searchParams.get("chunked") === "1",
    bytesPerS: Number(searchParams.get("bytesPerS") ?? 0),
    status: Number(searchParams.get("status") ?? 200),
  };
}

/**
 * Reads and discards the body of a request.
 *
 * @param request Incoming request.
 * @throws When the body ends early.
 */
export async function discardBody(request: IncomingMessage): Promise<void> {
  for await (const _chunk of request) {
    // Only the end of the body matters.
  }
}

/**
 * Calls the next service with the id of the running request, so that the
 * daemon can look up the class, deadline and attempts left of that request.
 *
 * @param behaviour Behaviour with the next call; nothing is called without one.
 * @param record Request that runs.
 * @param options Signal that aborts the call.
 * @throws {NextCallError} When the next service answers with status 400 or more.
 */
export async function callNext(
  behaviour: UpstreamBehaviour,
  record: RequestRecord,
  { signal }: { signal: AbortSignal },
): Promise<void> {
  const { next } = behaviour;
  if (next === undefined) {
    return;
  }
  const separator = next.path.includes("?") ? "&" : "?";
  const path = `${next.path}${separator}token=${record.token}`;
  const answer = await sendRequest(`${next.url}${path}`, {
    method: next.method,
    headers: { "goldcrest-request-id": record.requestId },
    signal,
  });
  await answer.body.dump();
  if (answer.statusCode >= 400) {
    throw new NextCallError(answer.statusCode);
  }
}

/**
 * Writes an answer whose bytes are determined by tenant and token.
 *
 * @param response Response to write to.
 * @param content Tenant, and the answer that the request asks for.
 * @param options Signal that stops the transfer.
 * @throws {AbortError} When the signal is aborted while the transfer waits.
 */
export async function writeAnswer(
  response: ServerResponse,
  content: { tenant: string; spec: AnswerSpec },
  { signal }: { signal: AbortSignal },
): Promise<void> {
  const { tenant, spec } = content;
  const { token, lengthBytes } = spec;
  response.writeHead(spec.status, {
    "x-token": token,
    ...(spec.chunked ? {} : { "content-length": String(lengthBytes) }),
  });
  for (let fromBytes = 0; fromBytes < lengthBytes; fromBytes += CHUNK_BYTES) {
    const toBytes = Math.min(fromBytes + CHUNK_BYTES, lengthBytes);
    const bytes = answerBytes({ tenant, token }, { fromBytes, toBytes });
    if (!response.write(bytes)) {
      await once(response, "drain", { signal });
    }
    if (spec.bytesPerS > 0) {
      const pauseMs = (bytes.length / spec.bytesPerS) * MS_PER_S;
      await sleep(pauseMs, undefined, { signal });
    }
  }
  response.end();
}
