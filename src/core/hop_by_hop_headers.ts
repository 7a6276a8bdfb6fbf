/** Headers that are never forwarded. */

/**
 * Names in lower case of the headers that apply to one connection, and
 * `expect`, which undici does not send.
 */
export const HOP_BY_HOP_HEADERS = [
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
] as const;
