/**
 * Fails the primary once under load, and measures the gap that callers saw and the steps that
 * agents reported.
 */
import { setTimeout as delay } from 'node:timers/promises'
import type { AgentExplainResult, ExplainedEvent } from '@nutmegcourse/protocol'
import { adminCall } from '../deployment/adminCall.js'
import type { Deployment } from '../deployment/index.js'
import type { PlannedServer } from '../deployment/plan.js'
import type { CallerLoad } from '../workload/callerLoad.js'
import { longestWriteGap } from '../workload/writeGap.js'

export type Fault = 'kill' | 'freeze' | 'isolate' | 'move'

export const FAULTS: readonly Fault[] = ['kill', 'freeze', 'isolate', 'move']

export interface RoundResult {
  readonly gapMilliseconds: number
  /** Time of the first report of each step, in milliseconds after the fault. */
  readonly steps: ReadonlyMap<string, number>
  readonly unknown: number
}

const POLL_MILLISECONDS = 20
const CHANGE_TIMEOUT_MILLISECONDS = 15_000
/** Time allowed after the change for its last steps to be reported. */
const AFTER_CHANGE_MILLISECONDS = 1000
const SETTLE_MILLISECONDS = 1500

export async function runRound(
  deployment: Deployment,
  load: CallerLoad,
  fault: Fault,
): Promise<RoundResult> {
  const database = deployment.database(0)
  const { primary, term } = await deployment.platform.groupRecord(database.id)
  const victim = database.servers.find(server => server.id === primary)
  if (victim === undefined) throw new Error('the group record has no primary')
  const from = load.now()
  const injectedAt = Date.now()
  const before = load.operations.length
  await injectFault(deployment, victim, fault)
  await waitUntil(async () => {
    const record = await deployment.platform.groupRecord(database.id)
    return record.term > term && record.phase.kind === 'stable' && record.primary !== victim.id
  })
  await delay(AFTER_CHANGE_MILLISECONDS)
  const operations = load.operations.slice(before)
  const events = await readEvents(deployment, victim)
  await recover(deployment, victim, fault)
  await delay(SETTLE_MILLISECONDS)
  return {
    gapMilliseconds: longestWriteGap(load.operations, database.id, from),
    steps: firstTimeOfEachStep(events, term, injectedAt),
    unknown: operations.filter(operation => operation.outcome.kind === 'unknown').length,
  }
}

async function injectFault(
  deployment: Deployment,
  victim: PlannedServer,
  fault: Fault,
): Promise<void> {
  switch (fault) {
    case 'kill':
      return deployment.kill(victim.id)
    case 'freeze':
      deployment.freeze(victim.id)
      return
    case 'isolate':
      return deployment.isolate(victim.zone)
    case 'move':
      return deployment.platform.markLeaving(victim.id)
  }
}

async function recover(deployment: Deployment, victim: PlannedServer, fault: Fault): Promise<void> {
  switch (fault) {
    case 'kill':
      await deployment.process(victim.id).start()
      return
    case 'freeze':
      deployment.thaw(victim.id)
      return
    case 'isolate':
      return deployment.rejoin(victim.zone)
    case 'move':
      return deployment.platform.markLive(victim.id)
  }
}

/** Queries an agent outside the failed server's zone, because that zone may be isolated. */
async function readEvents(
  deployment: Deployment,
  victim: PlannedServer,
): Promise<readonly ExplainedEvent[]> {
  const host = deployment.plan.entryHosts.find(candidate => candidate.zone !== victim.zone)
  if (host === undefined) return []
  const params = { database: victim.database }
  return (await adminCall<AgentExplainResult>(host.agentPort, 'agent.explain', params)).events
}

function firstTimeOfEachStep(
  events: readonly ExplainedEvent[],
  formerTerm: number,
  injectedAt: number,
): ReadonlyMap<string, number> {
  const steps = new Map<string, number>()
  for (const event of events) {
    if (event.at < injectedAt || event.term < formerTerm || steps.has(event.step)) continue
    steps.set(event.step, event.at - injectedAt)
  }
  return steps
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + CHANGE_TIMEOUT_MILLISECONDS
  while (!(await condition())) {
    if (Date.now() > deadline) throw new Error('the change of primary did not complete in time')
    await delay(POLL_MILLISECONDS)
  }
}
