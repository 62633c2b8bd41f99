import * as echarts from "echarts";

/** A finished measurement, as `npm run bench` prints it. */
export interface BenchResult {
  readonly bench: string;
  readonly seed: number;
  readonly result: unknown;
}

/** Series of a plot by name, one value for each category. */
type Series = Readonly<Record<string, readonly (number | undefined)[]>>;

interface PlotSpec {
  readonly title: string;
  readonly unit: string;
  readonly kind: "bar" | "line";
  readonly categories: readonly string[];
  readonly series: Series;
}

const WIDTH = 760;
const HEIGHT = 340;

/**
 * Draws measurements as one HTML page with a plot for each figure.
 *
 * @param results The measurements.
 * @returns The page.
 */
export function drawReport(results: readonly BenchResult[]): string {
  const sections = results.map((result) => {
    const plots = plotsOf(result).map(drawPlot).join("\n");
    return `<h2>${result.bench}, seed ${result.seed}</h2>\n${plots}`;
  });
  return [
    "<!doctype html>",
    '<html lang="en"><meta charset="utf-8"><title>sesamepond</title>',
    "<style>body{font-family:sans-serif;max-width:800px;margin:auto}</style>",
    "<h1>Measurements</h1>",
    ...sections,
    "</html>",
  ].join("\n");
}

function plotsOf({ bench, result }: BenchResult): PlotSpec[] {
  switch (bench) {
    case "hop":
      return hopPlots(result as Record<string, HopWay>);
    case "flood":
      return floodPlots(result as Deployments<Record<string, FloodRun>>);
    case "faults":
      return faultPlots(result as Deployments<FaultRun>);
    case "poison":
      return poisonPlots(
        result as Record<string, { crashesByPoison: number[] }>,
      );
    case "scale":
      return scalePlots(result as { sizes: ScaleSize[] });
    default:
      return fleetPlots(result as { sizes: Record<string, unknown>[] });
  }
}

interface HopWay {
  readonly addedP50Ms?: number;
  readonly addedP99Ms?: number;
  readonly leastAddedP99Ms?: number;
}

function hopPlots(result: Record<string, HopWay>): PlotSpec[] {
  const ways = Object.keys(result)
    .filter((name) => result[name]?.addedP50Ms !== undefined);
  return [{
    title: "Time added to a call",
    unit: "ms",
    kind: "bar",
    categories: ways,
    series: {
      p50: ways.map((way) => result[way]!.addedP50Ms),
      p99: ways.map((way) => result[way]!.addedP99Ms),
      "least p99": ways.map((way) => result[way]!.leastAddedP99Ms),
    },
  }];
}

type Deployments<T> = Record<string, Record<string, T>>;
type FloodRun = Record<string, { ofGuaranteed: number }>;

function floodPlots(result: Deployments<Record<string, FloodRun>>): PlotSpec[] {
  return Object.entries(result).map(([deployment, floods]) => {
    const categories = Object.keys(floods);
    const series: Record<string, number[]> = {};
    for (const system of ["ours", "naive"]) {
      for (const rank of ["urgent", "standard", "bulk"]) {
        series[`${system} ${rank}`] = categories.map((name) =>
          floods[name]![system]![rank]!.ofGuaranteed
        );
      }
    }
    return {
      title: `${deployment}: goodput as a share of what is due`,
      unit: "",
      kind: "bar",
      categories,
      series,
    };
  });
}

type FaultRun = Record<string, { served: number; recoveryMs: number }>;

function faultPlots(result: Deployments<FaultRun>): PlotSpec[] {
  return Object.entries(result).map(([deployment, faults]) => {
    const categories = Object.keys(faults);
    const of = (rank: string) =>
      categories.map((name) => faults[name]![rank]!.recoveryMs);
    return {
      title: `${deployment}: recovery`,
      unit: "ms",
      kind: "bar",
      categories,
      series: {
        urgent: of("urgent"),
        standard: of("standard"),
        bulk: of("bulk"),
      },
    };
  });
}

function poisonPlots(
  result: Record<string, { crashesByPoison: number[] }>,
): PlotSpec[] {
  const names = Object.keys(result);
  const count = Math.max(
    ...names.map((name) => result[name]!.crashesByPoison.length),
  );
  return [{
    title: "Crashes of each poisonous request",
    unit: "",
    kind: "bar",
    categories: Array.from({ length: count }, (_, index) => `${index + 1}`),
    series: Object.fromEntries(
      names.map((name) => [name, result[name]!.crashesByPoison]),
    ),
  }];
}

interface ScaleSize {
  readonly size: number;
  readonly corePercent: number;
  readonly microsPerRun: Readonly<Record<string, number>>;
}

function scalePlots({ sizes }: { sizes: ScaleSize[] }): PlotSpec[] {
  const categories = sizes.map(({ size }) => String(size));
  const steps = Object.keys(sizes[0]?.microsPerRun ?? {});
  return [
    {
      title: "One run of a control step over members",
      unit: "µs",
      kind: "line",
      categories,
      series: Object.fromEntries(
        steps.map((step) => [
          step,
          sizes.map(({ microsPerRun }) => microsPerRun[step]),
        ]),
      ),
    },
    {
      title: "All control decisions of a daemon over members",
      unit: "% of a core",
      kind: "line",
      categories,
      series: { decisions: sizes.map(({ corePercent }) => corePercent) },
    },
  ];
}

function fleetPlots(result: { sizes: Record<string, unknown>[] }): PlotSpec[] {
  const categories = result.sizes.map((size) => String(size.size));
  const of = (path: string) =>
    result.sizes.map((size) => {
      let value: unknown = size;
      for (const step of path.split(".")) {
        value = (value as Record<string, unknown> | undefined)?.[step];
      }
      return value as number | undefined;
    });
  const plots: PlotSpec[] = [
    {
      title: "Convergence over daemons",
      unit: "ms",
      kind: "line",
      categories,
      series: {
        p50: of("convergence.healthy.p50Ms"),
        p99: of("convergence.healthy.p99Ms"),
        "naive p99": of("convergence.naive.p99Ms"),
      },
    },
    {
      title: "Control bytes of a daemon over daemons",
      unit: "bytes/s",
      kind: "line",
      categories,
      series: {
        median: of("control.bytesPerS.median"),
        most: of("control.bytesPerS.max"),
      },
    },
    {
      title: "Store calls over daemons",
      unit: "calls/s",
      kind: "line",
      categories,
      series: {
        ours: of("control.storeCallsPerS"),
        naive: of("control.naive.storeCallsPerS"),
      },
    },
  ];
  return plots.filter(({ series }) =>
    Object.values(series).some((values) =>
      values.some((value) => value !== undefined)
    )
  );
}

function drawPlot(spec: PlotSpec): string {
  const chart = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  chart.setOption({
    animation: false,
    title: { text: spec.title },
    legend: { top: 28 },
    grid: { top: 80 },
    xAxis: { type: "category", data: [...spec.categories] },
    yAxis: { type: "value", name: spec.unit },
    series: Object.entries(spec.series).map(([name, data]) => ({
      name,
      type: spec.kind,
      data: data.map((value) => value ?? null),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
