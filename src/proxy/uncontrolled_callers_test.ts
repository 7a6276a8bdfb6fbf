/** Tests of crowds of callers that take the memory or the descriptors. */
import { test } from "node:test";
import { BODY_CROWD_KINDS, type CrowdKind } from "../testing/caller_crowd.ts";
import { startProductDaemonProcess } from "../../stand_ins/product_daemon_process.ts";
import { assertWithstandsCrowd } from "../testing/withstand_crowd.ts";

const MACHINE = {
  memoryMaxBytes: 200_000_000,
  /** Fewer than the callers of a crowd and the connections to the upstream. */
  descriptorsMaxCount: 350,
};

type Crowd = {
  kind: CrowdKind;
  machine: typeof MACHINE;
  callersCount?: number;
};

const CROWDS: readonly Crowd[] = [
  ...([...BODY_CROWD_KINDS, "pipelinedRequests"] as const).map((kind) => ({
    kind,
    machine: MACHINE,
  })),
  // Each head is small, so that it takes many connections.
  {
    kind: "manyFields",
    machine: { ...MACHINE, descriptorsMaxCount: 2_500 },
    callersCount: 1_400,
  },
];

// Guards against a process that ends, exceeds the limits of its machine or no
// longer answers because of callers that are not under the operator's control.
for (const { kind, machine, callersCount } of CROWDS) {
  test(`a product daemon withstands a crowd of callers (${kind})`, async (t) => {
    const { child, callers } = await startProductDaemonProcess(t, machine);
    await assertWithstandsCrowd(t, kind, {
      child,
      address: callers,
      ordinaryPath: "/uploads/ordinary",
      ordinaryHeaders: () => ({}),
      headLines: ["POST /uploads/crowd-{index} HTTP/1.1", "Host: x"],
      ...(callersCount !== undefined && { callersCount }),
      ...machine,
    });
  });
}
