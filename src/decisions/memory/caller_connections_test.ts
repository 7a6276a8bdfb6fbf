import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { CallerConnections } from "./caller_connections.ts";

class StubSocket extends EventEmitter {
  isDestroyed = false;

  destroy(): void {
    this.isDestroyed = true;
    this.emit("close");
  }
}

function addSockets(connections: CallerConnections, count: number) {
  return Array.from({ length: count }, () => {
    const socket = new StubSocket();
    connections.add(socket);
    return socket;
  });
}

// Guards against callers that leave no descriptor for others.
test("a connection over the bound closes another one", () => {
  const closed: boolean[] = [];
  const connections = new CallerConnections(
    3,
    ({ isNew }) => closed.push(isNew),
  );
  const sockets = addSockets(connections, 4);
  assert.equal(connections.count, 3);
  assert.equal(sockets.filter(({ isDestroyed }) => isDestroyed).length, 1);
  assert.equal(sockets[3]?.isDestroyed, false);
  assert.deepEqual(closed, [false]);
});

// Guards against requests that may have run and get no answer.
test("a new connection is refused while all others have forwarded requests", () => {
  const closed: boolean[] = [];
  const connections = new CallerConnections(
    2,
    ({ isNew }) => closed.push(isNew),
  );
  for (const socket of addSockets(connections, 2)) {
    const state = connections.find(socket);
    assert.ok(state);
    state.forwardedCount = 1;
  }
  const [refused] = addSockets(connections, 1);
  assert.equal(refused?.isDestroyed, true);
  assert.equal(connections.count, 2);
  assert.deepEqual(closed, [true]);
});
