/** Read-only view of a lease for the acceptor and the readers of the configuration. */
import type { Stream } from "most";

/** A lease; `LeaseHolder` of `src/platform/` implements it. */
export interface LeaseView {
  /** Whether the lease may be used at this moment. */
  isHeld(): boolean;
  /** Emits true when the lease is acquired and false when it is lost. */
  readonly changes: Stream<boolean>;
}
