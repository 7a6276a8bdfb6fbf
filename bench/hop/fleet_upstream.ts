/**
 * Upstream of the fleet variant of the hop benchmark: answers each request after
 * a fixed time, with the headers of the platform. The argument is that time in
 * ms; the ready line contains the port. Each line on standard input is answered
 * with the number of connections so far.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { createInterface } from "node:readline";

const ANSWER = Buffer.alloc(256, "x");
const workMs = Number(process.argv[2]);
let connectionsCount = 0;

const server = createServer(
  { noDelay: true, keepAliveTimeout: 60_000 },
  (request, response) => {
    request.resume();
    setTimeout(() => {
      response.writeHead(200, [
        "Attempt-Id",
        String(request.headers["attempt-id"]),
        "Server-Seal",
        "s",
        "Server-Load",
        "12,0,39",
        "Content-Type",
        "application/json",
        "Content-Length",
        String(ANSWER.length),
      ]);
      response.end(ANSWER);
    }, workMs);
  },
);
server.on("connection", () => connectionsCount++);
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
for await (const _line of createInterface({ input: process.stdin })) {
  process.stdout.write(`${JSON.stringify({ connectionsCount })}\n`);
}
// Standard input closes when the benchmark has ended, also after a failure.
process.exit(0);
