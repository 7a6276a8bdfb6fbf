import assert from "node:assert/strict";
import { test } from "node:test";
import { announcedOperatorAddress } from "./announced_operator_address.ts";

const peer = { host: "10.0.0.7", port: 9083 };
const announce = (host: string, peerHost = peer.host) =>
  announcedOperatorAddress({ host, port: 9084 }, {
    peer: { ...peer, host: peerHost },
  });

// Guards against a command-line tool that connects to the announced loopback
// address of another instance and so reaches a daemon on its own machine.
test("a loopback operator address is announced only if the peer listener is on the loopback", () => {
  assert.deepEqual(announce("127.0.0.1"), {});
  assert.deepEqual(announce("::1"), {});
  assert.equal(announce("127.0.0.1", "127.0.0.1").operatorPort, 9084);
});

test("an unspecified operator address is announced with the host of the peer listener", () => {
  assert.equal(announce("0.0.0.0").operatorHost, "10.0.0.7");
  assert.equal(announce("10.0.0.8").operatorHost, "10.0.0.8");
});
