/** Renders the tables for the terminal and for docs/report. */
import type {FourMeasures} from './four_measures.js';

interface Column {
  title: string;
  format: (figures: FourMeasures) => string;
}

const formatRatio = (value: number) =>
  Number.isFinite(value) ? value.toFixed(3) : 'none answered';
const formatMs = (value: number) =>
  value > 0 ? value.toFixed(0) : 'none answered';
const formatPercent = (value: number) => `${(value * 100).toFixed(2)}%`;

/** The columns of the four measures. */
export const MEASURE_COLUMNS: readonly Column[] = [
  {title: 'policy', format: each => each.policy},
  {
    title: 'first token p50/p99 without batch, ms',
    format: each => `${formatMs(each.onlineP50)}/${formatMs(each.onlineP99)}`,
  },
  {
    title: 'under batch p50/p99, ms',
    format: each =>
      `${formatMs(each.underBatchP50)}/${formatMs(each.underBatchP99)}`,
  },
  {
    title: 'harm p50/p95/p99',
    format: each =>
      [each.harmP50, each.harmP95, each.harmP99].map(formatHarm).join('/'),
  },
  {
    title: 'batch items/s (share of bound)',
    format: each =>
      `${each.batchRate.toFixed(1)} (${formatRatio(each.batchShare)})`,
  },
  {
    title: 'worst account, answered/prompt',
    format: each =>
      `${formatRatio(each.worstAnswered)}/${formatRatio(each.worstPrompt)}`,
  },
  {
    title: 'wrongful refusals, no fault/instance lost',
    format: each =>
      `${formatPercent(each.wrongful)}/${formatPercent(each.wrongfulInLoss)}`,
  },
  {
    title: 'burst held, max ms (harm p99)',
    format: each =>
      `${formatMs(each.heldMax)} (${formatHarm(each.burstHarmP99)})`,
  },
];

/** The columns of the runs with faults and saturation. */
export const FAULT_COLUMNS: readonly Column[] = [
  {title: 'policy', format: each => each.policy},
  {
    title: 'slow and silent endpoint: p99 ms (answered)',
    format: each =>
      `${formatMs(each.faultsP99)} (${formatPercent(each.faultsAnswered)})`,
  },
  {
    title: 'small memory: p99 ms',
    format: each => formatMs(each.smallMemoryP99),
  },
  {
    title: 'saturation: answers/s (least sender served)',
    format: each =>
      `${each.saturatedGoodput.toFixed(1)} (${formatPercent(each.saturatedLeast)})`,
  },
  {
    title: 'items stopped for each done',
    format: each => each.batchStopped.toFixed(3),
  },
];

function formatHarm(value: number): string {
  return Number.isFinite(value) && value > 0 ? value.toFixed(2) : 'none';
}

/** Renders a Markdown table with one row for each policy. */
export function renderTable(
  columns: readonly Column[],
  rows: readonly FourMeasures[],
): string {
  const lines = [
    columns.map(({title}) => title),
    columns.map(() => '---'),
    ...rows.map(row => columns.map(({format}) => format(row))),
  ];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

/** Lists the aims of the four measures and whether the figures meet them. */
export function renderAims(figures: FourMeasures): string {
  const aims: [string, number, boolean][] = [
    ['harm p99 <= 1.10', figures.harmP99, figures.harmP99 <= 1.1],
    ['batch share >= 0.90', figures.batchShare, figures.batchShare >= 0.9],
    [
      'worst account >= 0.95',
      figures.worstAnswered,
      figures.worstAnswered >= 0.95,
    ],
    [
      'worst account, prompt >= 0.95',
      figures.worstPrompt,
      figures.worstPrompt >= 0.95,
    ],
    ['wrongful refusals = 0', figures.wrongful, figures.wrongful === 0],
    [
      'wrongful in a loss < 0.005',
      figures.wrongfulInLoss,
      figures.wrongfulInLoss < 0.005,
    ],
    ['burst held <= 100 ms', figures.heldMax, figures.heldMax <= 100],
  ];
  return aims
    .map(
      ([aim, value, isMet]) =>
        `- ${aim}: ${value.toFixed(3)}, ${isMet ? 'met' : 'MISSED'}`,
    )
    .join('\n');
}
