/** Collects the garbage of the JavaScript heap. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collect: (() => void) | undefined;

/**
 * Collects all garbage at once, with the buffers that it refers to. The event
 * loop waits meanwhile.
 */
export function collectGarbage(): void {
  if (collect === undefined) {
    // The function exists only in contexts that are created after this flag.
    setFlagsFromString("--expose-gc");
    collect = runInNewContext("gc") as () => void;
  }
  collect();
}
