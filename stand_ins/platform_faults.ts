/** Fault switches of the platform stand-in. */
import { z } from "zod";

/** Schema of the body of `POST /control/faults`; absent fields stay as they are. */
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

/** Present state of the fault switches. */
export class FaultSwitches {
  down = false;
  slowMs = 0;
  loseWriteAnswersCount = 0;
  dropWritesCount = 0;

  /**
   * Sets the switches that a change names.
   *
   * @param change Switches to set.
   */
  apply(change: FaultChange): void {
    Object.assign(this, change);
  }

  /** Takes one lost answer, where one is due; call it after the write. */
  takeLostAnswer(): boolean {
    const due = this.loseWriteAnswersCount > 0;
    this.loseWriteAnswersCount -= due ? 1 : 0;
    return due;
  }

  /** Takes one dropped write, where one is due; call it before the write. */
  takeDroppedWrite(): boolean {
    const due = this.dropWritesCount > 0;
    this.dropWritesCount -= due ? 1 : 0;
    return due;
  }
}
