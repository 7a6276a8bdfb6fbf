/** Tests of callers that leave while a daemon does not read its connections. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { leaveDuringPause, sendForStatus } from "../testing/leaving_callers.ts";
import { startProductDaemonProcess } from "../../stand_ins/product_daemon_process.ts";

const CALLERS_COUNT = 20;
const MACHINE = { memoryMaxBytes: 200_000_000, descriptorsMaxCount: 350 };
/** More than a listener reads of a body before its request is handled. */
const LARGE_BODY_BYTES = 200_000;

function requestText(id: string, bodyBytes: number): string {
  return `POST /uploads/${id} HTTP/1.1\r\nHost: x\r\n` +
    `Content-Length: ${bodyBytes}\r\n\r\n${"x".repeat(bodyBytes)}`;
}

for (const bodyBytes of [1, LARGE_BODY_BYTES]) {
  test(`a product daemon that was paused does not run requests of callers that have left (bodies of ${bodyBytes} bytes)`, async (t) => {
    const { child, upstream, callers } = await startProductDaemonProcess(
      t,
      MACHINE,
    );
    const sendOne = (id: string) =>
      sendForStatus(t, callers, requestText(id, 1));
    assert.equal(await sendOne("before"), 200);
    const texts = Array.from(
      { length: CALLERS_COUNT },
      (_, index) => requestText(`gone-${index}`, bodyBytes),
    );
    await leaveDuringPause(t, child, { address: callers, texts });
    assert.equal(await sendOne("after"), 200);
    assert.deepEqual(
      upstream.requests.map(({ path }) => path),
      ["/uploads/before", "/uploads/after"],
    );
  });
}
