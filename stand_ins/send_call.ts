/** One call of the caller stand-in. */
import { type Dispatcher, request as sendRequest } from "undici";
import { BodyCheck } from "./answer_body.ts";
import type { CallRecord } from "./call_record.ts";

/** One call with the properties of the answer that it asks for. */
export type Call = {
  /** Listener for callers, without path. */
  readonly url: string;
  readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
  readonly path: string;
  readonly token: string;
  readonly tenant?: string;
  readonly tenantToken?: string;
  /** Idempotency key. */
  readonly key?: string;
  /** Length of the answer's body, in bytes. */
  readonly answerBytesCount?: number;
  /** Further query parameters for the upstream stand-in. */
  readonly query?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  readonly headers?: Readonly<Record<string, string>>;
};

/** Options of {@link sendCall}. */
export type SendCallOptions = {
  dispatcher?: Dispatcher;
  /** Aborts the call. */
  signal?: AbortSignal;
};

const DEFAULT_TENANT = "default";
const DEFAULT_ANSWER_BYTES = 64;

function headersOf(call: Call): Record<string, string> {
  return {
    ...(call.tenant === undefined ? {} : { "goldcrest-tenant": call.tenant }),
    ...(call.tenantToken === undefined
      ? {}
      : { "goldcrest-tenant-token": call.tenantToken }),
    ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
    ...call.headers,
  };
}

function pathOf(call: Call, lengthBytes: number): string {
  const query = new URLSearchParams({
    token: call.token,
    bytes: String(lengthBytes),
    ...call.query,
  });
  return `${call.path}?${query}`;
}

function textOf(value: string | string[] | undefined): string {
  return typeof value === "string" ? value : "";
}

function readOutcome(text: string): CallRecord["outcome"] {
  return text === "complete" || text === "not-run" ? text : "unknown";
}

function emptyRecord(call: Call): CallRecord {
  return {
    requestId: "",
    tenant: call.tenant ?? DEFAULT_TENANT,
    token: call.token,
    key: call.key ?? "",
    status: 0,
    outcome: "broken",
    errorKind: "",
    recordedStatus: "",
    answerTenant: "",
    bytesCount: 0,
    bodyMatches: false,
    whole: false,
    latencyMs: 0,
  };
}

async function readAnswer(
  record: CallRecord,
  answer: Dispatcher.ResponseData,
  lengthBytes: number,
): Promise<void> {
  const { headers } = answer;
  record.status = answer.statusCode;
  record.requestId = textOf(headers["goldcrest-request-id"]);
  record.answerTenant = textOf(headers["goldcrest-tenant"]);
  record.errorKind = textOf(headers["goldcrest-error"]);
  record.recordedStatus = textOf(headers["goldcrest-recorded-status"]);
  const check = new BodyCheck(record);
  for await (const chunk of answer.body) {
    check.add(chunk as Uint8Array);
    record.bytesCount = check.receivedBytes;
  }
  record.outcome = readOutcome(textOf(headers["goldcrest-outcome"]));
  record.bodyMatches = check.matches;
  record.whole = check.receivedBytes === lengthBytes;
}

/**
 * Sends a call and checks the answer byte by byte.
 *
 * @param call Call to send.
 * @param options Dispatcher and signal.
 * @returns Record of the call; a failed transfer has the outcome `broken`.
 *
 * @example
 * await sendCall({ url, method: "GET", path: "/logs", token: "t1" });
 */
export async function sendCall(
  call: Call,
  options: SendCallOptions = {},
): Promise<CallRecord> {
  const record = emptyRecord(call);
  const lengthBytes = call.answerBytesCount ?? DEFAULT_ANSWER_BYTES;
  const startedMs = performance.now();
  try {
    const answer = await sendRequest(
      `${call.url}${pathOf(call, lengthBytes)}`,
      {
        method: call.method,
        headers: headersOf(call),
        body: call.body,
        bodyTimeout: 0,
        headersTimeout: 0,
        ...options,
      },
    );
    await readAnswer(record, answer, lengthBytes);
  } catch {
    record.outcome = "broken";
  }
  record.latencyMs = performance.now() - startedMs;
  return record;
}
