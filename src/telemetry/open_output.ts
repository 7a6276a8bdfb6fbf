/** Opens the process's output without waits for its reader. */
import { fstatSync } from "node:fs";
import { Socket } from "node:net";
import process from "node:process";
import type { Writable } from "node:stream";

const STDOUT_FD = 1;

/**
 * Opens standard output. Node.js writes to pipes synchronously through
 * `process.stdout`, so that a reader that stands still would stop the process.
 *
 * @returns Stream whose writes never block on a pipe or socket.
 */
export function openOutput(): Writable {
  const stat = fstatSync(STDOUT_FD);
  return stat.isFIFO() || stat.isSocket()
    ? new Socket({ fd: STDOUT_FD, readable: false, writable: true })
    : process.stdout;
}
