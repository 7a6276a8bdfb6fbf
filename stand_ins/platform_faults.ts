/** Switches for faults of the platform stand-in. */
import { z } from "zod";

/** Schema of the body of `POST /control/faults`; absent fields change nothing. */
export const faultsSchema = z.strictObject({
  down: z.boolean().optional()
    .describe("Resets every call and every watch"),
  slowMs: z.int().min(0).optional()
    .describe("Delay before each call takes effect"),
  loseWriteAnswersCount: z.int().min(0).optional()
    .describe("Next writes that take effect and whose answer is lost"),
  dropWritesCount: z.int().min(0).optional()
    .describe("Next writes that are reset before they take effect"),
});
/** Change of the fault switches. */
export type FaultChange = z.infer<typeof faultsSchema>;

/** Current state of the fault switches. */
export class FaultSwitches {
  down = false;
  slowMs = 0;
  loseWriteAnswersCount = 0;
  dropWritesCount = 0;

  /**
   * Sets the switches that a change contains.
   *
   * @param change Switches to set.
   */
  apply(change: FaultChange): void {
    Object.assign(this, change);
  }

  /**
   * Counts down the answers to lose; called after each write.
   *
   * @returns True when the answer to this write is lost.
   */
  consumeLostAnswer(): boolean {
    const isLost = this.loseWriteAnswersCount > 0;
    this.loseWriteAnswersCount -= isLost ? 1 : 0;
    return isLost;
  }

  /**
   * Counts down the writes to drop; called before each write.
   *
   * @returns True when this write is dropped.
   */
  consumeDroppedWrite(): boolean {
    const isDropped = this.dropWritesCount > 0;
    this.dropWritesCount -= isDropped ? 1 : 0;
    return isDropped;
  }
}
