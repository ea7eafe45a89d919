/**
 * Settings of the measurement's helper processes: `--settings FILE`, as in the production programs.
 */
import { readFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { parse } from 'yaml'

export function readProcessSettings(): Readonly<Record<string, unknown>> {
  const { values } = parseArgs({ options: { settings: { type: 'string' } } })
  return parse(readFileSync(values.settings ?? '', 'utf8')) as Record<string, unknown>
}

export function reportReady(port: number): void {
  process.stdout.write(`${JSON.stringify({ ready: true, port })}\n`)
}
