/**
 * Labels of a metric as text. Their values may come from the store or from another host.
 *
 * @internal
 */
export type MetricLabels = Readonly<Record<string, string>>

export const metricLabels = (labels: MetricLabels): string =>
  Object.entries(labels)
    .map(([label, text]) => `${label}="${escaped(text)}"`)
    .join(',')

const escaped = (text: string): string =>
  text.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n')
