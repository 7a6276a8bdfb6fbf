/** Opens the standard output of the process without blocking on its reader. */
import { fstatSync } from "node:fs";
import { Socket } from "node:net";
import process from "node:process";
import type { Writable } from "node:stream";

const STDOUT_FD = 1;

/**
 * Opens standard output. `process.stdout` writes to pipes synchronously, so a
 * stalled reader would block the process.
 *
 * @returns Stream whose writes never block on a pipe or socket.
 */
export function openOutput(): Writable {
  const stat = fstatSync(STDOUT_FD);
  return stat.isFIFO() || stat.isSocket()
    ? new Socket({ fd: STDOUT_FD, readable: false, writable: true })
    : process.stdout;
}
