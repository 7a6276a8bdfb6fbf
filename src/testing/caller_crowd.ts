/** Crowds of callers that a process must withstand, for tests. */
import { connect, type Socket } from "node:net";
import type { TestContext } from "node:test";
import type { Address } from "../schemas/common_schema.ts";

/** Kinds of callers that differ in the bodies that they send. */
export const BODY_CROWD_KINDS = [
  /** Large permitted bodies, sent whole. */
  "wholeBodies",
  /** Large permitted bodies in pieces, without the last byte. */
  "unfinishedBodies",
  /** Bodies over the limit, with their length announced. */
  "announcedOversize",
  /** Chunked bodies over the limit. */
  "unannouncedOversize",
  /** Permitted bodies in large chunks, without an end. */
  "largeChunks",
  /** Permitted bodies in chunks of one byte, without an end. */
  "byteChunks",
] as const;

/** Kinds of callers without bodies. */
export const HEAD_CROWD_KINDS = [
  /** Large permitted heads, without their end. */
  "unfinishedHeads",
  /** Complete heads with many small fields, without the announced body. */
  "manyFields",
  /** Many small requests in a row on each connection. */
  "pipelinedRequests",
] as const;

/** Kind of a caller. */
export type CrowdKind =
  | typeof BODY_CROWD_KINDS[number]
  | typeof HEAD_CROWD_KINDS[number];

/** Largest body that the tests' configurations permit, in bytes. */
export const CROWD_BODY_MAX_BYTES = 1_048_576;
/** Number of callers of a kind that need little memory in the test itself. */
const CALLERS_COUNT = 300;
const BYTE_CHUNKS_CALLERS_COUNT = 200;
/** Chunks of one byte that each caller sends. */
const BYTE_CHUNKS_COUNT = 100_000;
const PIECE_BYTES = 65_536;
/** Size of the bodies over the limit that are announced. */
const OVERSIZE_ANNOUNCED_BYTES = 67_108_864;
/** Bytes that a caller sends of a body over the limit. */
const OVERSIZE_SENT_BYTES = 4_194_304;
/** Longest wait until all callers have sent their bodies or are closed. */
const SETTLED_MAX_MS = 20_000;

const PIECE = Buffer.alloc(PIECE_BYTES, "x");
const CHUNK = Buffer.concat([
  Buffer.from(`${PIECE_BYTES.toString(16)}\r\n`),
  PIECE,
  Buffer.from("\r\n"),
]);
const BYTE_CHUNKS = Buffer.from("1\r\nx\r\n".repeat(BYTE_CHUNKS_COUNT));
/** Size of an unfinished head. */
const HEAD_BYTES = 60_000;
const HEAD_LINE = `Pad: ${"x".repeat(993)}\r\n`;
/** Size of a head with many fields, and that of a field. */
const MANY_FIELDS_BYTES = 15_800;
const FIELD_BYTES = 20;
/** Requests that each caller sends in a row. */
const PIPELINED_COUNT = 2_000;

type Sending = {
  /** Header line that frames the body; undefined without a body. */
  framing: string | undefined;
  pieces: readonly Buffer[];
};

function repeatPiece(piece: Buffer, count: number): Buffer[] {
  return Array.from({ length: count }, () => piece);
}

/** Returns fields of 20 bytes with different names. */
function createFields(count: number): string {
  const numbers = Array.from({ length: count }, (_, n) => `${100_000 + n}`);
  return numbers.map((number) => `f-${number}: ${number}ab\r\n`).join("");
}

function sendingOf(kind: CrowdKind, headLines: readonly string[]): Sending {
  const piecesCount = CROWD_BODY_MAX_BYTES / PIECE_BYTES;
  const announced = `Content-Length: ${CROWD_BODY_MAX_BYTES}`;
  const chunked = "Transfer-Encoding: chunked";
  switch (kind) {
    case "wholeBodies":
      return { framing: announced, pieces: repeatPiece(PIECE, piecesCount) };
    case "unfinishedBodies":
      return {
        framing: announced,
        pieces: [
          ...repeatPiece(PIECE, piecesCount - 1),
          PIECE.subarray(1),
        ],
      };
    case "announcedOversize":
      return {
        framing: `Content-Length: ${OVERSIZE_ANNOUNCED_BYTES}`,
        pieces: repeatPiece(PIECE, OVERSIZE_SENT_BYTES / PIECE_BYTES),
      };
    case "unannouncedOversize":
      return {
        framing: chunked,
        pieces: repeatPiece(CHUNK, OVERSIZE_SENT_BYTES / PIECE_BYTES),
      };
    case "largeChunks":
      return { framing: chunked, pieces: repeatPiece(CHUNK, piecesCount) };
    case "byteChunks":
      return { framing: chunked, pieces: [BYTE_CHUNKS] };
    case "unfinishedHeads": {
      const lines = HEAD_LINE.repeat(HEAD_BYTES / HEAD_LINE.length);
      return { framing: undefined, pieces: [Buffer.from(lines)] };
    }
    case "manyFields": {
      const fields = createFields(MANY_FIELDS_BYTES / FIELD_BYTES);
      return {
        framing: undefined,
        pieces: [Buffer.from(`Content-Length: 10\r\n${fields}\r\n`)],
      };
    }
    case "pipelinedRequests": {
      const request = [...headLines, "", ""].join("\r\n");
      return {
        framing: undefined,
        pieces: [Buffer.from(`\r\n${request.repeat(PIPELINED_COUNT)}`)],
      };
    }
  }
}

function callersCountOf(kind: CrowdKind): number {
  return kind === "byteChunks" ? BYTE_CHUNKS_CALLERS_COUNT : CALLERS_COUNT;
}

/**
 * Opens a crowd of callers, and waits until each one has sent everything, and has
 * an answer if its first request is complete, or its connection has been closed.
 * The connections that are open stay open until the end of the test.
 *
 * @param t Test that owns the connections.
 * @param address Listener for callers.
 * @param options Kind and number of the callers, and the lines of their heads
 *   without the framing of the body.
 */
export async function openCrowd(
  t: TestContext,
  address: Address,
  options: {
    kind: CrowdKind;
    headLines: readonly string[];
    count?: number | undefined;
  },
): Promise<void> {
  const { kind, headLines, count = callersCountOf(kind) } = options;
  const { framing, pieces } = sendingOf(kind, headLines);
  const head = framing === undefined
    ? [...headLines, ""].join("\r\n")
    : [...headLines, framing, "", ""].join("\r\n");
  const send = (index: number) =>
    new Promise<void>((resolve) => {
      const socket: Socket = connect(address);
      t.after(() => socket.destroy());
      socket.on("error", () => {});
      socket.on("close", () => resolve());
      // The answer to a whole body ends its request; others are sent and left.
      socket.on("data", () => resolve());
      socket.write(head.replace("{index}", String(index)));
      pieces.forEach((piece, number) =>
        socket.write(piece, () => {
          if (kind !== "wholeBodies" && number === pieces.length - 1) {
            resolve();
          }
        })
      );
    });
  const settled = Promise.all(Array.from({ length: count }, (_, n) => send(n)));
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, SETTLED_MAX_MS);
  });
  await Promise.race([settled, timeout]);
  clearTimeout(timer);
}
