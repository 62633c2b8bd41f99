import * as echarts from "echarts";

/** A benchmark result, as printed by `npm run bench`. */
export interface BenchResult {
  readonly bench: string;
  readonly seed: number;
  readonly result: unknown;
}

/** Series of a plot by name, with one value per category. */
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
 * Draws benchmark results as one HTML page of plots.
 *
 * @param results The results.
 * @returns The page as HTML.
 */
export function drawReport(results: readonly BenchResult[]): string {
  const sections = results.map((result) => {
    const plots = createPlots(result).map(drawPlot).join("\n");
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

function createPlots({ bench, result }: BenchResult): PlotSpec[] {
  switch (bench) {
    case "hop":
      return createHopPlots(result as Record<string, HopPath>);
    case "flood":
      return createFloodPlots(result as Deployments<Record<string, FloodRun>>);
    case "faults":
      return createFaultPlots(result as Deployments<FaultRun>);
    case "poison":
      return createPoisonPlots(
        result as Record<string, { crashesByPoison: number[] }>,
      );
    case "scale":
      return createScalePlots(result as { sizes: ScaleSize[] });
    default:
      return createFleetPlots(result as { sizes: Record<string, unknown>[] });
  }
}

interface HopPath {
  readonly addedP50Ms?: number;
  readonly addedP99Ms?: number;
  readonly leastAddedP99Ms?: number;
}

function createHopPlots(result: Record<string, HopPath>): PlotSpec[] {
  const paths = Object.keys(result)
    .filter((name) => result[name]?.addedP50Ms !== undefined);
  return [{
    title: "Latency added to a call",
    unit: "ms",
    kind: "bar",
    categories: paths,
    series: {
      p50: paths.map((path) => result[path]!.addedP50Ms),
      p99: paths.map((path) => result[path]!.addedP99Ms),
      "least p99": paths.map((path) => result[path]!.leastAddedP99Ms),
    },
  }];
}

type Deployments<T> = Record<string, Record<string, T>>;
type FloodRun = Record<string, { ofGuaranteed: number }>;

function createFloodPlots(
  result: Deployments<Record<string, FloodRun>>,
): PlotSpec[] {
  return Object.entries(result).map(([deployment, floods]) => {
    const floodNames = Object.keys(floods);
    const series: Record<string, number[]> = {};
    for (const system of ["ours", "naive"]) {
      for (const rank of ["urgent", "standard", "bulk"]) {
        series[`${system} ${rank}`] = floodNames.map((name) =>
          floods[name]![system]![rank]!.ofGuaranteed
        );
      }
    }
    return {
      title: `${deployment}: goodput as a share of min(offered, guaranteed)`,
      unit: "",
      kind: "bar",
      categories: floodNames,
      series,
    };
  });
}

type FaultRun = Record<string, { served: number; recoveryMs: number }>;

function createFaultPlots(result: Deployments<FaultRun>): PlotSpec[] {
  return Object.entries(result).map(([deployment, faults]) => {
    const faultNames = Object.keys(faults);
    const recoveryMsOf = (rank: string) =>
      faultNames.map((name) => faults[name]![rank]!.recoveryMs);
    return {
      title: `${deployment}: recovery time`,
      unit: "ms",
      kind: "bar",
      categories: faultNames,
      series: {
        urgent: recoveryMsOf("urgent"),
        standard: recoveryMsOf("standard"),
        bulk: recoveryMsOf("bulk"),
      },
    };
  });
}

function createPoisonPlots(
  result: Record<string, { crashesByPoison: number[] }>,
): PlotSpec[] {
  const names = Object.keys(result);
  const count = Math.max(
    ...names.map((name) => result[name]!.crashesByPoison.length),
  );
  return [{
    title: "Crashes caused by each poisonous request",
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

function createScalePlots({ sizes }: { sizes: ScaleSize[] }): PlotSpec[] {
  const categories = sizes.map(({ size }) => String(size));
  const steps = Object.keys(sizes[0]?.microsPerRun ?? {});
  return [
    {
      title: "Time of a control step by number of members",
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
      title: "CPU use of a daemon's control decisions by number of members",
      unit: "% of a core",
      kind: "line",
      categories,
      series: { decisions: sizes.map(({ corePercent }) => corePercent) },
    },
  ];
}

function createFleetPlots(
  result: { sizes: Record<string, unknown>[] },
): PlotSpec[] {
  const categories = result.sizes.map((size) => String(size.size));
  const valuesAt = (path: string) =>
    result.sizes.map((size) => {
      let value: unknown = size;
      for (const key of path.split(".")) {
        value = (value as Record<string, unknown> | undefined)?.[key];
      }
      return value as number | undefined;
    });
  const plots: PlotSpec[] = [
    {
      title: "Convergence time by number of daemons",
      unit: "ms",
      kind: "line",
      categories,
      series: {
        p50: valuesAt("convergence.healthy.p50Ms"),
        p99: valuesAt("convergence.healthy.p99Ms"),
        "naive p99": valuesAt("convergence.naive.p99Ms"),
      },
    },
    {
      title: "Control traffic of a daemon by number of daemons",
      unit: "bytes/s",
      kind: "line",
      categories,
      series: {
        median: valuesAt("control.bytesPerS.median"),
        most: valuesAt("control.bytesPerS.max"),
      },
    },
    {
      title: "Store calls by number of daemons",
      unit: "calls/s",
      kind: "line",
      categories,
      series: {
        ours: valuesAt("control.storeCallsPerS"),
        naive: valuesAt("control.naive.storeCallsPerS"),
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
