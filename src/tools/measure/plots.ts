/** Renders the plots of the report as SVG with vega. */
import vega from 'vega';
import vegaLite from 'vega-lite';
import type {FourMeasures} from './four_measures.js';
import type {SimulationResult} from '../../plays/simulation_result.js';

/**
 * Renders first-token latency with batch work, relative to that without, against batch
 * throughput.
 */
export function renderTradePlot(
  rows: readonly FourMeasures[],
): Promise<string> {
  const values = rows
    .filter(row => Number.isFinite(row.harmP99) && row.harmP99 > 0)
    .map(row => ({
      deployment: row.deployment,
      policy: row.policy,
      share: row.batchShare,
      harm: row.harmP99,
    }));
  return renderSvg({
    data: {values},
    width: 420,
    height: 300,
    mark: {type: 'point', filled: true, size: 90},
    encoding: {
      x: {
        field: 'share',
        type: 'quantitative',
        title: 'batch throughput, share of the bound',
        scale: {zero: false},
      },
      y: {
        field: 'harm',
        type: 'quantitative',
        title: 'first token p99, with batch / without',
        scale: {type: 'log'},
      },
      color: {field: 'policy', type: 'nominal'},
      shape: {field: 'deployment', type: 'nominal'},
    },
  });
}

/** Renders batch items and the slowest first token over a simulation with bursts. */
export function renderBurstPlot(result: SimulationResult): Promise<string> {
  const x = {field: 'atMs', type: 'quantitative', title: 'time, ms'};
  return renderSvg({
    data: {values: result.series},
    vconcat: [
      {
        width: 520,
        height: 130,
        mark: 'area',
        encoding: {
          x,
          y: {
            field: 'batch',
            type: 'quantitative',
            title: 'batch items each 0.5 s',
          },
        },
      },
      {
        width: 520,
        height: 130,
        mark: 'line',
        encoding: {
          x,
          y: {
            field: 'firstTokenMs',
            type: 'quantitative',
            title: 'slowest first token, ms',
          },
        },
      },
    ],
  });
}

async function renderSvg(spec: object): Promise<string> {
  const compiled = vegaLite.compile(spec as never).spec;
  const view = new vega.View(vega.parse(compiled), {renderer: 'none'});
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}
