/** Generates docs/METRICS.md from the metrics that an instance registers. */

/** A registered metric. */
export interface ListedMetric {
  name: string;
  help: string;
}

/** Renders the complete page. */
export function renderMetricsPage(metrics: readonly ListedMetric[]): string {
  const rows = [...metrics]
    .sort((a, b) => (a.name < b.name ? -1 : 1))
    .map(({name, help}) => `| \`${name}\` | ${help.replaceAll('|', '/')} |`);
  return `# Metrics

\`GET /metrics\` on the operators' address, in the Prometheus text format. Made
from what an instance registers; \`UPDATE_GOLDEN=1 npm test\` makes it anew.

| name | what it tells |
| --- | --- |
${rows.join('\n')}
`;
}
