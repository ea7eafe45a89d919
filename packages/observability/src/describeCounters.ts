/** docs/METRICS.md, made from the table of counters. */
import { listCounters } from '@nutmegcourse/shared'

const HEADER = `# Metrics

Sent as StatsD counters with the prefix \`nutmegcourse.\`; totals also stand in \`status\`.
There is one counter for each reason of a refusal and one for each reason of a retry.
This page is made by \`node scripts/generateDocs.js\`.

| counter | meaning |
|---|---|
`

export function describeCounters(): string {
  const rows = listCounters().map(({ name, meaning }) => `| \`${name}\` | ${meaning} |\n`)
  return HEADER + rows.join('')
}
