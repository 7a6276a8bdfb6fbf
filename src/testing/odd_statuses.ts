/** Texts that are no status of HTTP, for tests of answers that have one. */
export const ODD_STATUSES = [
  "000",
  "00",
  "0",
  "099",
  "600",
  "999",
  "1000",
  "2x0",
  "abc",
];
