// Writes the pages that are made from the code. `--check` writes nothing and fails on a difference.
import { readFileSync, writeFileSync } from 'node:fs'
import { describeCounters } from '@nutmegcourse/observability'
import { describeEvents, describeSlotMetrics } from '@nutmegcourse/host'
import { describeErrors } from '@nutmegcourse/proxy'
import { describeSettings } from '@nutmegcourse/settings'

const PAGES = [
  { path: 'docs/ERRORS.md', text: describeErrors() },
  { path: 'docs/LOGS.md', text: describeEvents() },
  { path: 'docs/METRICS.md', text: `${describeCounters()}${describeSlotMetrics()}` },
  { path: 'docs/SETTINGS.md', text: describeSettings() },
]

const check = process.argv.includes('--check')
for (const { path, text } of PAGES) {
  if (!check) writeFileSync(path, text)
  else if (readFileSync(path, 'utf8') !== text) {
    console.error(`${path} is out of date: run node scripts/generateDocs.js`)
    process.exitCode = 1
  }
}
