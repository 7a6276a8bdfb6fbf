/** Max-min fair division of room among flows of requests. */

/** Demand of a flow and how much of it is admitted. */
export type FlowShare = {
  readonly name: string;
  /** Offered runs. */
  readonly demand: number;
  /** Share of the offered runs that is admitted, from 0 to 1. */
  readonly admittedRatio: number;
};

/** Offered runs by the name of the flow. */
export type FlowDemands = ReadonlyMap<string, number>;

/**
 * Divides room among flows so that the smallest shares are as large as possible:
 * flows that ask for less than an equal share are admitted whole, and what they
 * leave goes to the others in equal shares.
 *
 * @param demands Offered runs of each flow.
 * @param room Runs that can be admitted.
 * @returns Share of each flow, smallest demand first.
 *
 * @example
 * divideFairly(new Map([["lookup", 90], ["credit", 10]]), 50);
 * // credit is admitted whole, lookup with 40 of 90
 */
export function divideFairly(demands: FlowDemands, room: number): FlowShare[] {
  const flows = [...demands]
    .filter(([, demand]) => demand > 0)
    .sort(([, a], [, b]) => a - b);
  let left = Math.max(0, room);
  return flows.map(([name, demand], index) => {
    const granted = Math.min(demand, left / (flows.length - index));
    left -= granted;
    return { name, demand, admittedRatio: granted / demand };
  });
}
