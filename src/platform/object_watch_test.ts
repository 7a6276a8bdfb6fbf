import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { PlatformError, type StoredObject } from "../core/platform_client.ts";
import { NullLogger } from "../telemetry/logger.ts";
import {
  type ObjectPage,
  type ObjectSource,
  ObjectWatch,
  type WaitOptions,
} from "./object_watch.ts";

/** Shortest time after a disturbance from which the users' bounds hold. */
const STABILITY_WINDOW_MS = 3_000;
/** Longest first pause of the store client after a failed call. */
const FIRST_PAUSE_MAX_MS = 300;

type Answer = ObjectPage | "lost" | "failed";

/** Source whose calls end when the test answers them. */
class FakeSource implements ObjectSource {
  era = 1;
  readonly lists: boolean[] = [];
  readonly waits: WaitOptions[] = [];
  #resolve: (answer: Answer) => void = () => {};
  #onCall: () => void = () => {};

  pauseMs(): number {
    return 0;
  }

  async list(_kind: string, isStale: boolean): Promise<ObjectPage> {
    this.lists.push(isStale);
    return await this.#call() as ObjectPage;
  }

  async waitForChanges(
    _kind: string,
    options: WaitOptions,
  ): Promise<ObjectPage | undefined> {
    this.waits.push(options);
    const answer = await this.#call();
    return answer === "lost" ? undefined : answer as ObjectPage;
  }

  /** Answers the open call and waits for the next one. */
  async answer(answer: Answer): Promise<void> {
    const nextCall = new Promise<void>((resolve) => this.#onCall = resolve);
    this.#resolve(answer);
    await nextCall;
  }

  async #call(): Promise<Answer> {
    const answer = new Promise<Answer>((resolve) => this.#resolve = resolve);
    this.#onCall();
    const result = await answer;
    if (result === "failed") {
      throw new PlatformError("unknown", "Not answered");
    }
    return result;
  }
}

function startWatch(
  t: TestContext,
  { isStaleKind = false, isClose = true } = {},
) {
  const source = new FakeSource();
  const emitted: StoredObject[] = [];
  /** Number of objects emitted before each exact read was reported. */
  const reads: number[] = [];
  const abort = new AbortController();
  t.after(() => abort.abort());
  const watch = new ObjectWatch({
    kind: "things",
    source,
    isStaleKind,
    isClose: () => isClose,
    emit: (object) => emitted.push(object),
    onExactRead: () => reads.push(emitted.length),
    log: new NullLogger(),
  });
  watch.run(abort.signal).catch(() => {});
  return { source, emitted, reads };
}

const page = (
  revision: number,
  objects: readonly StoredObject[] = [],
  era = 1,
) => ({ revision, objects, era });

test("a close watch whose connection goes silent is repeated before the users' bounds hold again", async (t) => {
  const { source } = startWatch(t);
  await source.answer(page(1));
  const { timeoutMs, waitMs } = source.waits[0] as WaitOptions;
  assert.ok(timeoutMs > waitMs);
  assert.ok(timeoutMs + FIRST_PAUSE_MAX_MS < STABILITY_WINDOW_MS);
});

test("after a failed call the store is asked at once, without a wait on a store that may not answer", async (t) => {
  const { source } = startWatch(t);
  await source.answer(page(1));
  await source.answer("failed");
  const { timeoutMs, waitMs, revision } = source.waits[1] as WaitOptions;
  assert.equal(revision, 1);
  assert.ok(waitMs <= 1);
  assert.ok(timeoutMs <= STABILITY_WINDOW_MS / 2);
  await source.answer("failed");
  assert.ok((source.waits[2] as WaitOptions).waitMs <= 1);
  await source.answer(page(1));
  assert.ok((source.waits[3] as WaitOptions).waitMs > 500);
});

test("data of the time before a restore is not used, and the next read is exact", async (t) => {
  const { source, emitted } = startWatch(t, { isStaleKind: true });
  await source.answer(page(5));
  source.era = 2;
  await source.answer(page(6));
  const old = { kind: "things", name: "old", version: 4, value: 1 };
  await source.answer(page(5, [old], 1));
  assert.deepEqual(emitted, []);
  assert.deepEqual(source.lists, [true, false, false]);
});

// A storm of configurations would otherwise be compiled and announced one by one.
test("of several changes of an object in one answer only the last is emitted", async (t) => {
  const { source, emitted } = startWatch(t);
  await source.answer(page(1));
  const change = (version: number) => ({
    kind: "things",
    name: "main",
    version,
    value: version,
  });
  await source.answer(page(4, [change(2), change(3), change(4)]));
  assert.deepEqual(emitted, [change(4)]);
});

// Short exact waits of all daemons would cost the store hundreds of calls.
test("a watch that is not close waits as long after a restore as before", async (t) => {
  const { source } = startWatch(t, { isStaleKind: true });
  await source.answer(page(5));
  const before = source.waits[0] as WaitOptions;
  source.era = 2;
  await source.answer(page(6));
  await source.answer(page(5, [], 2));
  const after = source.waits[1] as WaitOptions;
  assert.deepEqual([before.isStale, after.isStale], [true, false]);
  assert.equal(after.waitMs, before.waitMs);
});

test("a removal is not emitted again when the objects are listed again", async (t) => {
  const { source, emitted } = startWatch(t);
  const object = { kind: "things", name: "a", version: 1, value: 1 };
  await source.answer(page(1, [object]));
  await source.answer(page(2, [{ ...object, value: undefined }]));
  await source.answer("lost");
  await source.answer(page(3));
  assert.equal(emitted.length, 2);
});

// Guards against a daemon that takes its configuration for the newest because of
// a call that says nothing of the present, or before the newer one is in force.
test("an exact read is reported after its objects, and no call that is stale, interrupted, failed or of an older era is", async (t) => {
  const object = { kind: "things", name: "a", version: 1, value: 1 };
  const { source, reads } = startWatch(t);
  await source.answer(page(1, [object]));
  await source.answer(page(2, [{ ...object, version: 2 }]));
  assert.deepEqual(reads, [1, 2]);
  await source.answer({ ...page(2), isInterrupted: true });
  await source.answer("failed");
  await source.answer("lost");
  await source.answer(page(3, [object], 0));
  assert.deepEqual(reads, [1, 2]);
  await source.answer(page(3, [object]));
  assert.deepEqual(reads, [1, 2, 3]);

  const stale = startWatch(t, { isClose: false });
  await stale.source.answer(page(1, [object]));
  await stale.source.answer(page(2, [object]));
  assert.deepEqual(stale.reads, [1]);
});
