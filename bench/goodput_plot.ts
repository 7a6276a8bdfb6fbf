/** Plot of goodput by class over time. */
import * as echarts from "echarts";
import {
  IMPORTANCE_CLASSES,
  type ImportanceClass,
} from "../src/schemas/common_schema.ts";

/** Goodput of one run by class: time in s and complete requests per s. */
export type GoodputSeries = Readonly<
  Partial<Record<ImportanceClass, readonly (readonly [number, number])[]>>
>;

const WIDTH_PX = 900;
const ROW_HEIGHT_PX = 260;
const ROW_PLOT_PX = 180;

/**
 * Draws one row per policy.
 *
 * @param title Title of the plot.
 * @param rows Policies with the goodput of one run.
 * @returns The plot as an SVG document.
 */
export function plotGoodput(
  title: string,
  rows: readonly { name: string; goodput: GoodputSeries }[],
): string {
  const chart = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    width: WIDTH_PX,
    height: ROW_HEIGHT_PX * rows.length + 60,
  });
  const top = (row: number) => 70 + row * ROW_HEIGHT_PX;
  chart.setOption({
    animation: false,
    title: { text: title },
    legend: { data: [...IMPORTANCE_CLASSES], top: 28 },
    grid: rows.map((_, row) => ({ top: top(row), height: ROW_PLOT_PX })),
    xAxis: rows.map((_, row) => ({ type: "value", gridIndex: row, name: "s" })),
    yAxis: rows.map(({ name }, row) => ({
      type: "value",
      gridIndex: row,
      name: `${name}: complete requests/s`,
      nameTextStyle: { align: "left" },
    })),
    series: rows.flatMap(({ goodput }, row) =>
      IMPORTANCE_CLASSES.map((importanceClass) => ({
        name: importanceClass,
        type: "line",
        showSymbol: false,
        xAxisIndex: row,
        yAxisIndex: row,
        data: goodput[importanceClass] ?? [],
      }))
    ),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
