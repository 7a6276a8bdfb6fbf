/** Upstream of the hop benchmark: answers each request at once with 1 KiB. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";

const ANSWER = Buffer.alloc(1_024, "x");

const server = createServer(
  { noDelay: true, keepAliveTimeout: 60_000 },
  (request, response) => {
    request.resume();
    request.on("end", () => {
      response.writeHead(200, {
        "content-type": "text/plain",
        "content-length": ANSWER.length,
      });
      response.end(ANSWER);
    });
  },
);
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
