/** Handlers for the calls of operators' tools. */
import type {
  AgentExplainParams,
  AgentExplainRoutingParams,
  AgentExplainRoutingResult,
  AgentExplainResult,
  AgentGetTargetsResult,
  AgentStatusResult,
  AgentUsageResult,
  ExplainedEvent,
} from '@nutmegcourse/protocol'
import type { Clock, EntryHostId } from '@nutmegcourse/shared'
import type { RpcHandlers } from '@nutmegcourse/transport'
import { checkedHandler, type UnreadableListener } from './checkedParams.js'
import type { EventLog } from './eventLog.js'
import type { FleetTask } from './fleetTask.js'
import { explainRoutingSchema, explainSchema } from './messageSchemas.js'
import type { ProxyServer } from './proxyServer.js'

const GATHER_TIMEOUT_MILLISECONDS = 1000

export interface ToolHandlerOptions {
  readonly status: () => AgentStatusResult
  readonly usage: () => AgentUsageResult
  readonly events: EventLog
  readonly fleet: () => FleetTask
  readonly clock: Clock
  readonly proxies: ProxyServer
  readonly entryHost: EntryHostId
  /** A tool or another agent sent what cannot be read. */
  readonly unreadable: UnreadableListener
}

export function toolHandlers(options: ToolHandlerOptions): RpcHandlers {
  const { unreadable } = options
  return {
    'agent.status': () => options.status(),
    'agent.usage': () => options.usage(),
    ...checkedHandler('agent.explain', explainSchema, unreadable, params =>
      explain(options, params),
    ),
    ...checkedHandler('agent.explainRouting', explainRoutingSchema, unreadable, params =>
      explainRouting(options, params),
    ),
    ...checkedHandler('agent.events', explainSchema, unreadable, ({ database }) =>
      options.events.of(database),
    ),
    'agent.getTargets': (): AgentGetTargetsResult => {
      const { configuration } = options.fleet()
      return {
        targets: configuration.newest,
        confirmed: configuration.confirmed(options.clock.now()),
      }
    },
  }
}

async function explainRouting(
  options: ToolHandlerOptions,
  params: AgentExplainRoutingParams,
): Promise<AgentExplainRoutingResult> {
  const databases = options.status().groups.map(group => group.database)
  const requests = databases.map(async database => {
    const query = { kind: params.kind, database, [params.kind]: params.name }
    const explanation = await options.proxies.explain(query, GATHER_TIMEOUT_MILLISECONDS)
    return { database, ...explanation }
  })
  const gathered = await Promise.all(requests)
  return {
    entryHost: options.entryHost,
    explanations: gathered.flatMap(({ database, answers }) =>
      answers.map(({ lines }) => ({ database, lines })),
    ),
    silentProxies: Math.max(0, ...gathered.map(({ silent }) => silent)),
  }
}

async function explain(
  options: ToolHandlerOptions,
  params: AgentExplainParams,
): Promise<AgentExplainResult> {
  const { network, gossip } = options.fleet()
  const { database } = params
  const silentPeers: EntryHostId[] = []
  const gathered = await Promise.all(
    network.linkedPeers.map(async peer => {
      const answer = await network.request<readonly ExplainedEvent[]>(
        peer,
        'agent.events',
        params,
        GATHER_TIMEOUT_MILLISECONDS,
      )
      if (answer.isErr()) silentPeers.push(peer)
      return answer.unwrapOr([])
    }),
  )
  const events = [...options.events.of(database), ...gathered.flat()]
  const item = gossip.get(`group/${database}`)
  return {
    database,
    record: item?.kind === 'group' ? item.record : null,
    events: events.sort((left, right) => left.at - right.at),
    silentPeers,
  }
}
