/** Processor time of other processes. */
import { readdirSync, readFileSync } from "node:fs";

const NS_PER_MS = 1_000_000;

/**
 * Reads the processor time that all threads of a process have used. The
 * kernel's schedstat counts in ns; `stat` has a resolution of only 10 ms.
 *
 * @param pid Process id.
 * @returns Processor time in ms since the start of the process.
 */
export function processorTimeMs(pid: number): number {
  const folder = `/proc/${pid}/task`;
  const threadsNs = readdirSync(folder).map((thread) => {
    const text = readFileSync(`${folder}/${thread}/schedstat`, "utf8");
    return Number(text.split(" ", 1)[0]);
  });
  return threadsNs.reduce((sum, ns) => sum + ns, 0) / NS_PER_MS;
}
