#!/usr/bin/env node
/** `nutmegcourse-proxy`: the data path of an entry host. Prints one line of JSON once it listens. */
import { parseArgs } from 'node:util'
import { formatSettingsError, proxySettingsSchema, readYamlFile } from '@nutmegcourse/settings'
import { ProxyProcess } from './proxyProcess.js'

const EXIT_USAGE = 2
const EXIT_CUT = 1

const HELP = `nutmegcourse-proxy --settings FILE

Serves callers of PostgreSQL databases according to the fleet's targets. See docs/SETTINGS.md.

  --settings FILE  settings of this process, as YAML
  --help           show this help

Exit codes: 0 stopped gracefully, 1 stopped with requests cut at the drain timeout,
2 invalid settings or arguments.`

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { settings: { type: 'string' }, help: { type: 'boolean', default: false } },
  })
  if (values.help) {
    console.log(HELP)
    return
  }
  if (values.settings === undefined) {
    exitWithUsageError(HELP)
    return
  }
  const settings = await readYamlFile(values.settings, proxySettingsSchema)
  if (settings.isErr()) {
    exitWithUsageError(formatSettingsError(settings.error))
    return
  }
  const proxy = new ProxyProcess(settings.value)
  const port = await proxy.start()
  process.stdout.write(`${JSON.stringify({ ready: true, ports: { listen: port } })}\n`)
  const stop = (): void => {
    void proxy.stop().then(graceful => process.exit(graceful ? 0 : EXIT_CUT))
  }
  // Not `once`: a second signal without a listener would terminate the process with requests in flight.
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

function exitWithUsageError(text: string): void {
  console.error(text)
  process.exitCode = EXIT_USAGE
}

await main()
