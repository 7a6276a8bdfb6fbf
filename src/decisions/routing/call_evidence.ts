/** Evidence that a request is a downstream call of a running request. */

/**
 * What shows that a request is a downstream call:
 *
 * - `id`: its id contains that of the running request. Besides the daemons, only
 *   the caller and the upstream of that request know the id, so this proves that
 *   the call is made for it.
 * - `deadline`: it has the deadline of the running request. Any request may have
 *   it by chance, so this may decide how a request is queued, but not who its
 *   caller is.
 */
export type CallEvidence = "id" | "deadline";
