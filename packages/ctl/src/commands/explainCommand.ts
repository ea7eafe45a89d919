/** `explain`: how a class or session is routed, and the steps of the last change of primary. */
import type {
  AgentExplainResult,
  AgentExplainRoutingResult,
  ExplainedEvent,
} from '@nutmegcourse/protocol'
import { className, databaseId, sessionId } from '@nutmegcourse/shared'
import type { AgentPort, AgentPortError } from '../agentPort.js'
import { EXIT_CODES, fail, succeed, type CommandResult } from '../exitCode.js'
import type { ExplainSubject } from '../parseCommand.js'

export interface ExplainRequest {
  readonly subject: ExplainSubject
  readonly name: string
  readonly json: boolean
}

export async function explain(agent: AgentPort, request: ExplainRequest): Promise<CommandResult> {
  const { subject, name, json } = request
  if (subject === 'database') {
    const result = await agent.explain(databaseId(name))
    return result.match(answer => formatResult(answer, json, formatExplanation), agentUnreachable)
  }
  const result = await agent.explainRouting(
    subject === 'class'
      ? { kind: 'class', name: className(name) }
      : { kind: 'session', name: sessionId(name) },
  )
  return result.match(answer => formatResult(answer, json, formatRouting), agentUnreachable)
}

function formatResult<Answer>(
  answer: Answer,
  json: boolean,
  format: (answer: Answer) => readonly string[],
): CommandResult {
  if (json) return succeed(`${JSON.stringify(answer)}\n`)
  return succeed(
    format(answer)
      .map(line => `${line}\n`)
      .join(''),
  )
}

const agentUnreachable = (error: AgentPortError): CommandResult =>
  fail(EXIT_CODES.unreachable, `agent unreachable: ${error.detail}`)

function formatExplanation(answer: AgentExplainResult): readonly string[] {
  const { database, record, events, silentPeers } = answer
  if (record === null) return [`${database}: this agent knows no such database`]
  const summary = `${database}: term ${record.term}, primary ${record.primary ?? 'none'}, ${record.phase.kind}`
  const silentPeerLines = silentPeers.map(
    peer => `(${peer} gave no answer; its part may be missing)`,
  )
  return [summary, ...formatEvents(events), ...silentPeerLines]
}

/** Times are in milliseconds since the first event of the change. */
function formatEvents(events: readonly ExplainedEvent[]): readonly string[] {
  const lastChange = eventsOfLastChange(events)
  const [first] = lastChange
  if (first === undefined) return ['no change of primary is remembered']
  const start = `from ${new Date(first.at).toISOString()}:`
  const steps = lastChange.map(({ at, entryHost, step, term, detail }) => {
    const offset = `+${at - first.at} ms`.padStart(10)
    return `${offset}  ${entryHost}  ${step} (term ${term}) ${detail}`
  })
  return [start, ...steps]
}

/** Term numbers may have gaps, so a change begins after the end of the previous one. */
function eventsOfLastChange(events: readonly ExplainedEvent[]): readonly ExplainedEvent[] {
  const newestTerm = Math.max(0, ...events.map(event => event.term))
  const isEarlierEnd = (event: ExplainedEvent): boolean =>
    event.step === 'completed' && event.term < newestTerm
  return events.slice(events.findLastIndex(isEarlierEnd) + 1)
}

function formatRouting(answer: AgentExplainRoutingResult): readonly string[] {
  const { entryHost, explanations, silentProxies } = answer
  const lineGroups = explanations.flatMap(({ database, lines }) => [
    `${database}:`,
    ...lines.map(line => `  ${line}`),
  ])
  const silent = silentProxies === 0 ? [] : [`(${silentProxies} proxies gave no answer)`]
  return [`as the proxies of ${entryHost} see it`, ...lineGroups, ...silent]
}
