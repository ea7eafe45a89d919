/** Startup and shutdown code that all stand-in processes share. */
import { readFile } from 'node:fs/promises'
import { parseArgs } from 'node:util'
import { parse } from 'yaml'
import type { z } from 'zod'

/** Reads settings from `--settings FILE` (YAML) or from one JSON argument. */
export async function readStandInSettings<Value>(schema: z.ZodType<Value>): Promise<Value> {
  const { values, positionals } = parseArgs({
    options: { settings: { type: 'string' } },
    allowPositionals: true,
  })
  const text =
    values.settings === undefined ? positionals[0] : await readFile(values.settings, 'utf8')
  return schema.parse(parse(text ?? '{}'))
}

/** Prints one JSON line for the parent process: this process is listening on these ports. */
export function announceReady(ports: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify({ ready: true, ...ports })}\n`)
}

/**
 * Exits on SIGTERM, and when standard input ends because the parent process has exited, so that an
 * aborted test leaves no processes.
 */
export function endWithParent(): void {
  const end = (): void => process.exit(0)
  process.on('SIGTERM', end)
  process.stdin.on('end', end)
  process.stdin.on('error', end)
  process.stdin.resume()
}
