#!/usr/bin/env node
/** The `nutmegcourse-agent` binary. */
import './heapLimits.js'
import { randomUUID } from 'node:crypto'
import { parseArgs } from 'node:util'
import { FailoverCore } from '@nutmegcourse/coordination'
import { Metrics, createLog } from '@nutmegcourse/observability'
import {
  agentSettingsSchema,
  formatSettingsError,
  readYamlFile,
  type AgentSettings,
} from '@nutmegcourse/settings'
import { SystemRandom, attemptId } from '@nutmegcourse/shared'
import { Agent, type MachineFactory } from './agent.js'

const USAGE = `usage: nutmegcourse-agent --settings FILE

Runs the control side of one entry host. Prints one line of JSON with its ports once it listens.
SIGTERM tells the fleet that this host leaves, and ends the process.
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
  const { entryHost, zone, logLevel, metrics: place } = settings
  const log = createLog({ process: 'agent', entryHost, zone }, logLevel)
  const agent = new Agent(settings, log, new Metrics(place), makeMachineWith(settings))
  const ports = await agent.start()
  process.stdout.write(`${JSON.stringify({ ready: true, ports })}\n`)
  let stopped: Promise<void> | null = null
  const stop = (): void => {
    stopped ??= agent.stop().then(() => process.exit(0))
  }
  // Taken each time: a signal without a listener ends the process before the fleet knows that it leaves.
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

const makeMachineWith =
  (settings: AgentSettings): MachineFactory =>
  (database, self, pace) => {
    const { storeTimeoutMilliseconds } = settings
    const options = { ...pace, storeTimeoutMilliseconds }
    return new FailoverCore({ database, self, options }, new SystemRandom(), () =>
      attemptId(randomUUID()),
    )
  }

function fail(text: string): never {
  process.stderr.write(text)
  process.exit(EXIT_USAGE)
}

await main()
