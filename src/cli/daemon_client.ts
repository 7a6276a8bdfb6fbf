/** Client of the daemons' operator listeners. */
import { request } from "undici";
import { type Status, statusSchema } from "../schemas/status_schema.ts";

/** A daemon that does not answer as expected. */
export class DaemonError extends Error {
  /**
   * @param url Operator listener.
   * @param reason Phrase for the message.
   */
  constructor(url: string, reason: string) {
    super(`Daemon at ${url} ${reason}`);
    this.name = "DaemonError";
  }
}

/** A daemon with its status, or why there is none. */
export type DaemonView = {
  readonly url: string;
  readonly status?: Status;
  readonly error?: string;
};

const TIMEOUT_MS = 3_000;
// A fleet has thousands of daemons; the tool keeps few connections open.
const CONCURRENCY_MAX = 64;

async function call(
  url: string,
  path: string,
  method: "GET" | "POST",
): Promise<string> {
  try {
    const answer = await request(`${url.replace(/\/$/, "")}${path}`, {
      method,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 300) {
      throw new DaemonError(url, `answers with status ${answer.statusCode}`);
    }
    return text;
  } catch (error) {
    if (error instanceof DaemonError) {
      throw error;
    }
    throw new DaemonError(url, `does not answer: ${(error as Error).message}`);
  }
}

/** Options of a read of the status. */
export type StatusOptions = {
  /**
   * Whether the members are read too; default all. A member of a large fleet
   * answers with thousands of members, of which one daemon's list is enough.
   */
  members?: "all" | "none";
};

/**
 * Reads the status of a daemon.
 *
 * @param url Operator listener.
 * @param options Whether the members are read too.
 * @returns Checked status.
 * @throws {DaemonError} Without a valid answer.
 */
export async function readStatus(
  url: string,
  { members = "all" }: StatusOptions = {},
): Promise<Status> {
  const text = await call(url, `/status?members=${members}`, "GET");
  try {
    return statusSchema.parse(JSON.parse(text));
  } catch {
    throw new DaemonError(url, "answers with an unknown form of status");
  }
}

/**
 * Reads the metrics of a daemon.
 *
 * @param url Operator listener.
 * @returns Prometheus text.
 * @throws {DaemonError} Without an answer.
 */
export function readMetrics(url: string): Promise<string> {
  return call(url, "/metrics", "GET");
}

/**
 * Starts or cancels the drain of a daemon.
 *
 * @param url Operator listener.
 * @param action Whether to start or to cancel.
 * @throws {DaemonError} Without an answer.
 */
export async function postDrain(
  url: string,
  action: "drain" | "undrain",
): Promise<void> {
  await call(url, `/${action}`, "POST");
}

async function viewDaemon(
  url: string,
  options: StatusOptions,
): Promise<DaemonView> {
  try {
    return { url, status: await readStatus(url, options) };
  } catch (error) {
    return { url, error: (error as Error).message };
  }
}

/**
 * Reads the status of several daemons, a bounded number at once.
 *
 * @param urls Operator listeners.
 * @param options Whether the members are read too.
 * @returns One view for each, in order.
 */
export async function viewDaemons(
  urls: readonly string[],
  options: StatusOptions = {},
): Promise<DaemonView[]> {
  const views: DaemonView[] = [];
  for (let start = 0; start < urls.length; start += CONCURRENCY_MAX) {
    const batch = urls.slice(start, start + CONCURRENCY_MAX);
    views.push(
      ...await Promise.all(batch.map((url) => viewDaemon(url, options))),
    );
  }
  return views;
}

/**
 * Lists the operator listeners of the members that daemons name.
 *
 * @param views Daemons that were asked.
 * @returns URLs of members that are not gone, the asked ones included, each
 * daemon once even when the operator named it by another address.
 */
export function listMemberUrls(views: readonly DaemonView[]): string[] {
  const asked = new Set(views.map(({ status }) => status?.instanceId));
  const members = views.flatMap(({ status }) => status?.members ?? [])
    .filter(({ state, instanceId }) =>
      state !== "dead" && state !== "left" && !asked.has(instanceId)
    )
    .flatMap(({ operator }) => operator ?? [])
    .map(({ host, port }) =>
      host.includes(":") ? `http://[${host}]:${port}` : `http://${host}:${port}`
    );
  return [...new Set([...views.map(({ url }) => url), ...members])];
}
