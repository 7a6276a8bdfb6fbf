/** Callers that leave while a process is paused, for tests. */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import type { TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { Address } from "../schemas/common_schema.ts";

/** Longer than the time after which a request of a gone caller must not run. */
const PAUSE_MS = 700;
/** Time for which callers wait for an answer before they leave. */
const PATIENCE_MS = 100;
/** Time in which requests that are read late reach the upstream. */
const SETTLING_MS = 500;

/** A process that can be paused; a child process of Node.js is one. */
export interface PausableProcess {
  /** Sends a signal to the process. */
  kill(signal: "SIGSTOP" | "SIGCONT"): boolean;
}

/**
 * Opens the connection of a caller.
 *
 * @param t Test that owns the connection.
 * @param address Listener for callers.
 * @returns Connection whose answers are discarded.
 */
export async function openCaller(
  t: TestContext,
  address: Address,
): Promise<Socket> {
  const socket = connect(address);
  t.after(() => socket.destroy());
  socket.on("error", () => {});
  socket.resume();
  await once(socket, "connect");
  return socket;
}

/**
 * Sends a request on a connection of its own.
 *
 * @param t Test that owns the connection.
 * @param address Listener for callers.
 * @param text Request.
 * @returns Status of the answer.
 */
export async function sendForStatus(
  t: TestContext,
  address: Address,
  text: string,
): Promise<number> {
  const socket = await openCaller(t, address);
  socket.write(text);
  const [answer] = await once(socket, "data");
  socket.destroy();
  return Number(String(answer).split(" ")[1]);
}

/**
 * Pauses a process during an action and for some time after it, and waits until
 * it has caught up.
 *
 * @param child Process.
 * @param action What happens meanwhile.
 */
export async function pauseDuring(
  child: PausableProcess,
  action: () => Promise<void>,
): Promise<void> {
  child.kill("SIGSTOP");
  await delay(20);
  const paused = delay(PAUSE_MS);
  await action();
  await paused;
  child.kill("SIGCONT");
  await delay(SETTLING_MS);
}

/** Callers of {@link leaveDuringPause}. */
export type LeavingCallers = {
  /** Listener that they connect to. */
  address: Address;
  /** What each of them sends on its connection. */
  texts: readonly string[];
  /** Whether they connect before the pause. */
  isKept?: boolean;
};

/**
 * Pauses a process while callers send requests and leave.
 *
 * @param t Test that owns the connections.
 * @param child Process.
 * @param callers Callers.
 */
export async function leaveDuringPause(
  t: TestContext,
  child: PausableProcess,
  { address, texts, isKept = false }: LeavingCallers,
): Promise<void> {
  const openAll = () => Promise.all(texts.map(() => openCaller(t, address)));
  const kept = isKept ? await openAll() : undefined;
  await pauseDuring(child, async () => {
    const sockets = kept ?? await openAll();
    sockets.forEach((socket, index) => socket.write(texts[index] ?? ""));
    await delay(PATIENCE_MS);
    sockets.forEach((socket) => socket.destroy());
  });
}
