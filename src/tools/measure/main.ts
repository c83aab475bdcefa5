/**
 * `npm run measure`: simulates both deployments with several seeds, prints the four
 * measures with those of the baselines, and writes docs/report. `-- --ablate` instead
 * switches off one mechanism at a time; `-- --seeds N` sets the number of seeds.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {runSimulation} from '../../plays/simulation.js';
import {buildAblations} from './ablation.js';
import {buildScenario, DEPLOYMENTS, type Variation} from './deployments.js';
import {measurePolicy, type FourMeasures} from './four_measures.js';
import {renderBurstPlot, renderTradePlot} from './plots.js';
import {POLICIES} from './policies.js';
import {
  FAULT_COLUMNS,
  MEASURE_COLUMNS,
  renderAims,
  renderTable,
} from './report.js';

const REPORT_DIRECTORY = join(import.meta.dirname, '../../../../docs/report');
const DEFAULT_SEEDS = 10;

/** Engines and loads other than the default, to show how far the results depend on it. */
const VARIATIONS: Record<string, Variation> = {
  'prefill twice as slow': {engine: {prefillPerTokenMs: 0.16}, load: 0.6},
  'prefill twice as fast': {engine: {prefillPerTokenMs: 0.04}},
  'step slope 0.5 ms': {engine: {stepPerSequenceMs: 0.5}},
  'no step slope': {engine: {stepPerSequenceMs: 0}},
  'chunk of 2048 tokens': {engine: {chunkTokens: 2048}},
  'cache of 128 blocks': {engine: {cacheBlocks: 128}},
  'limit 32': {maxConcurrency: 32},
  'load half as large again': {load: 1.5},
};

function print(text: string) {
  process.stdout.write(`${text}\n`);
}

function listSeeds(count: number): number[] {
  return Array.from({length: count}, (_, index) => index + 1);
}

function measurePolicies(seeds: readonly number[]): string[] {
  const sections: string[] = [];
  const all: FourMeasures[] = [];
  for (const deployment of DEPLOYMENTS) {
    const rows = POLICIES.map(({name, parts}) =>
      measurePolicy(deployment, name, parts, seeds),
    );
    all.push(...rows);
    sections.push(
      `## ${deployment.name}, ${deployment.service}`,
      renderTable(MEASURE_COLUMNS, rows),
      renderTable(FAULT_COLUMNS, rows),
      `Aims, for ${rows[0].policy}:\n\n${renderAims(rows[0])}`,
    );
    print(sections.slice(-4).join('\n\n') + '\n');
  }
  plotted = all;
  return sections;
}

/** Rows of the last `measurePolicies`, for the plot. */
let plotted: FourMeasures[] = [];

function measureVariations(seeds: readonly number[]): string {
  const sections = DEPLOYMENTS.map(deployment => {
    const rows = Object.entries(VARIATIONS).map(([name, variation]) =>
      measurePolicy(deployment, name, {}, seeds, variation),
    );
    return `## ${deployment.name}, other engines\n\n${renderTable(MEASURE_COLUMNS, rows)}`;
  });
  print(sections.join('\n\n'));
  return sections.join('\n\n');
}

function measureAblations(seeds: readonly number[]): string {
  const sections = DEPLOYMENTS.map(deployment => {
    const rows = buildAblations().map(({name, parts}) =>
      measurePolicy(deployment, name, parts, seeds),
    );
    const section = [
      `## ${deployment.name}`,
      renderTable(MEASURE_COLUMNS, rows),
      renderTable(FAULT_COLUMNS, rows),
    ].join('\n\n');
    print(`${section}\n`);
    return section;
  });
  return sections.join('\n\n');
}

async function run() {
  const {values} = parseArgs({
    options: {
      ablate: {type: 'boolean', default: false},
      seeds: {type: 'string', default: String(DEFAULT_SEEDS)},
    },
  });
  const seeds = listSeeds(Number(values.seeds));
  mkdirSync(REPORT_DIRECTORY, {recursive: true});
  if (values.ablate) {
    const text = `# Ablation\n\nWritten by \`npm run measure -- --ablate --seeds ${seeds.length}\`.\n\n${measureAblations(seeds)}\n`;
    writeFileSync(join(REPORT_DIRECTORY, 'ablation.md'), text);
    return;
  }
  const sections = measurePolicies(seeds);
  const variations = measureVariations(seeds.slice(0, 3));
  const text = [
    `# Policy measured\n\nWritten by \`npm run measure -- --seeds ${seeds.length}\`; the same seeds give the same figures.`,
    ...sections,
    '![harm against throughput](trade.svg)',
    '![a play with bursts](burst.svg)',
    variations,
  ].join('\n\n');
  writeFileSync(join(REPORT_DIRECTORY, 'policy.md'), `${text}\n`);
  const svg = await renderTradePlot(plotted);
  writeFileSync(join(REPORT_DIRECTORY, 'trade.svg'), svg);
  const burst = runSimulation(buildScenario(DEPLOYMENTS[0], 'burst', 1));
  writeFileSync(
    join(REPORT_DIRECTORY, 'burst.svg'),
    await renderBurstPlot(burst),
  );
}

await run();
