import assert from "node:assert/strict";
import { test } from "node:test";
import { InputError } from "../errors/input_error.ts";
import { type Chart, chartSchema } from "../schemas/chart_schema.ts";
import { locateJsonc } from "../schemas/locate_jsonc.ts";
import { compileChart } from "./compile_chart.ts";
import { StateMachine } from "./state_machine.ts";

function doorChart(): Chart {
  return chartSchema.parse({
    name: "door",
    description: "Test chart",
    initial: "closed",
    events: ["open", "close", "break"],
    states: {
      closed: {
        on: {
          open: { target: "opened", guard: "isUnlocked", actions: ["ring"] },
          break: { target: "broken" },
        },
        ignore: ["close"],
      },
      opened: {
        on: { close: { target: "closed" } },
        ignore: ["open", "break"],
      },
      broken: { final: true },
    },
  });
}

class Door {
  unlocked = false;
  ringsCount = 0;
  isUnlocked(): boolean {
    return this.unlocked;
  }
  ring(): void {
    this.ringsCount++;
  }
}

const OPTIONS = { source: "door.jsonc", methods: Door.prototype };

test("a transition whose guard returns false is not taken", () => {
  const door = new Door();
  const machine = new StateMachine(compileChart(doorChart(), OPTIONS), door);
  assert.equal(machine.send("open"), false);
  door.unlocked = true;
  assert.equal(machine.send("open"), true);
  assert.equal(machine.state, "opened");
  assert.equal(door.ringsCount, 1);
});

test("a chart with an event that a state neither handles nor ignores is rejected", () => {
  const chart = doorChart();
  chart.states.opened?.ignore.pop();
  assert.throws(
    () => compileChart(chart, OPTIONS),
    (error: InputError) => {
      assert.match(error.message, /states\.opened: .* break/);
      return true;
    },
  );
});

test("a chart with unknown methods, unknown targets or unreachable states is rejected", () => {
  const chart = doorChart();
  chart.states.attic = { final: true, ignore: [], on: {} };
  chart.states.closed = {
    ignore: ["close"],
    on: {
      open: { target: "nowhere", guard: "isMissing", actions: [] },
      break: { target: "broken", actions: [] },
    },
  };
  assert.throws(
    () => compileChart(chart, OPTIONS),
    (error: InputError) => {
      const text = error.message;
      assert.match(text, /Unknown target state "nowhere"/);
      assert.match(text, /Unknown guard or action "isMissing"/);
      assert.match(text, /states\.attic: State cannot be reached/);
      return true;
    },
  );
});

test("an error message contains the line and column in the chart file", () => {
  const { name } = doorChart();
  const text = `{\n  "states": {\n    "closed": {}\n  }\n}`;
  const chart = doorChart();
  chart.states.closed?.ignore.pop();
  assert.throws(
    () =>
      compileChart(chart, {
        ...OPTIONS,
        locate: (path) => locateJsonc(text, path.split(".")),
      }),
    new RegExp(`${name}.jsonc:3:15: states.closed: `),
  );
});
