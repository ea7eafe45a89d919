/** `status`: the state of the fleet as known to one agent. */
import type { AgentStatusResult, GroupRecord } from '@nutmegcourse/protocol'
import type { AgentPort } from '../agentPort.js'
import { EXIT_CODES, fail, succeed, type CommandResult } from '../exitCode.js'

const REFUSAL_PREFIX = 'refusal.'

export async function showStatus(agent: AgentPort, json: boolean): Promise<CommandResult> {
  const status = await agent.status()
  if (status.isErr())
    return fail(EXIT_CODES.unreachable, `agent unreachable: ${status.error.detail}`)
  return succeed(json ? `${JSON.stringify(status.value)}\n` : formatStatus(status.value))
}

function formatStatus(status: AgentStatusResult): string {
  const { members, groups, drains } = status
  const alive = members.filter(member => member.status === 'alive').length
  const draining = drains === null ? [] : drains.backendServers
  const lines = [
    `agent ${status.entryHost} in ${status.zone}, ${status.region}`,
    `targets: ${describeTargets(status)}`,
    `store: ${status.storeReachable ? 'reachable' : 'out of reach'}`,
    `entry hosts: ${alive} alive of ${members.length} known`,
    ...members.map(member => `  ${member.entryHost} ${member.status} ${member.zone}`),
    `databases: ${groups.length}`,
    ...groups.map(group => `  ${describeGroup(group)}`),
    `draining: ${draining.length === 0 ? 'none' : draining.join(', ')}`,
    ...describeRefusals(status.counters),
  ]
  return lines.map(line => `${line}\n`).join('')
}

function describeTargets(status: AgentStatusResult): string {
  if (status.targetsVersion === null) return 'none known'
  const confirmationNote = status.targetsConfirmed ? '' : ', can not be confirmed as the newest'
  return `version ${status.targetsVersion}${confirmationNote}`
}

function describeGroup(group: GroupRecord): string {
  return `${group.database}: term ${group.term}, primary ${group.primary ?? 'none'}, ${group.phase.kind}`
}

function describeRefusals(counters: Readonly<Record<string, number>>): readonly string[] {
  const refusals = Object.entries(counters).filter(([name]) => name.startsWith(REFUSAL_PREFIX))
  return refusals.map(([name, count]) => `${name}: ${count}`)
}
