#!/usr/bin/env node
/** Entry point of the `nutmegcourse-agent` program. */
import './heapLimits.js'
import { randomUUID } from 'node:crypto'
import { parseArgs } from 'node:util'
import { FailoverCore } from '@nutmegcourse/coordination'
import { Metrics, createLog, logStalls } from '@nutmegcourse/observability'
import {
  agentSettingsSchema,
  formatSettingsError,
  readYamlFile,
  type AgentSettings,
} from '@nutmegcourse/settings'
import { SystemRandom, attemptId } from '@nutmegcourse/shared'
import { Agent, type MachineFactory } from './agent.js'

const USAGE = `usage: nutmegcourse-agent --settings FILE

Runs the control plane of one entry host. Prints one line of JSON with its ports once it listens.
On SIGTERM it announces to the fleet that this host leaves, and exits.
`
const EXIT_USAGE = 2

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { settings: { type: 'string' }, help: { type: 'boolean', short: 'h' } },
  })
  if (values.help === true) {
    process.stdout.write(USAGE)
    return
  }
  if (values.settings === undefined) fail(USAGE)
  const settings = await readYamlFile(values.settings, agentSettingsSchema)
  if (settings.isErr()) fail(`${formatSettingsError(settings.error)}\n`)
  await run(settings.value)
}

async function run(settings: AgentSettings): Promise<void> {
  const { entryHost, zone, logLevel, metrics: endpoint } = settings
  const log = createLog({ process: 'agent', entryHost, zone }, logLevel)
  logStalls(log)
  const agent = new Agent(settings, log, new Metrics(endpoint), makeMachineWith(settings))
  const ports = await agent.start()
  process.stdout.write(`${JSON.stringify({ ready: true, ports })}\n`)
  let stopped: Promise<void> | null = null
  const stop = (): void => {
    stopped ??= agent.stop().then(() => process.exit(0))
  }
  // The listeners stay installed: without one, a second signal would end the process before the fleet
  // is notified.
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

const makeMachineWith =
  (settings: AgentSettings): MachineFactory =>
  (database, self, timing) => {
    const { storeTimeoutMilliseconds } = settings
    const options = { ...timing, storeTimeoutMilliseconds }
    return new FailoverCore({ database, self, options }, new SystemRandom(), () =>
      attemptId(randomUUID()),
    )
  }

function fail(text: string): never {
  process.stderr.write(text)
  process.exit(EXIT_USAGE)
}

await main()
