/** Memory that an open request takes besides its body. */

/** Memory of a request, its response and its connection. */
const REQUEST_BYTES = 8_192;
/**
 * Memory of a header field besides its text: two strings, two elements of the
 * list of fields and an entry of the table of headers.
 */
const FIELD_BYTES = 128;
/** Memory of a request with some 50 header fields. */
const USUAL_REQUEST_MAX_BYTES = 16_384;

/** Parts of the head of a request that take memory. */
export type RequestHead = {
  readonly url?: string | undefined;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
};

/**
 * Estimates the memory that a request takes besides its body.
 *
 * @param head Head of the request.
 * @returns Size in bytes.
 */
export function requestBytesOf({ url, rawHeaders }: RequestHead): number {
  const textBytes = rawHeaders.reduce(
    (sumBytes, { length }) => sumBytes + length,
    url?.length ?? 0,
  );
  return REQUEST_BYTES + textBytes + rawHeaders.length / 2 * FIELD_BYTES;
}

/**
 * Returns whether a request takes no more memory than usual, so that one for each
 * connection is admitted, however much is held for others.
 *
 * @param requestBytes Result of {@link requestBytesOf}.
 * @returns False for a request with a large head or many fields.
 */
export function isUsualRequest(requestBytes: number): boolean {
  return requestBytes <= USUAL_REQUEST_MAX_BYTES;
}
