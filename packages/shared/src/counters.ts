/**
 * The names of all counters. Code can count under these names only, and docs/METRICS.md is generated
 * from this table, so that the two cannot differ.
 */
import { allReasons, type Reason } from './reasons.js'

const DECLARED_COUNTERS = {
  'request.served': 'Requests answered in full. Tags: class, role (primary or replica).',
  'read.replica': 'Reads served by a replica. Tags: class.',
  'read.primary': 'Reads served by the primary. Tags: class, why.',
  'retry.broken': 'Idempotent requests sent again after a broken connection. Tags: class.',
  'retry.server_error':
    'Requests sent to another server after a refusal for which nothing ran. Tags: class, why.',
  'retry.not_sent':
    'Requests that were never sent, since their connection had closed or writes were held by then, and wait again. Tags: class.',
  'failover.completed': 'Changes of primary that this agent completed. Tags: database, planned.',
  'failover.abandoned': 'Changes of primary that this agent abandoned. Tags: database, why.',
  'move.abandoned': 'Planned moves that this agent gave up. Tags: database.',
  'move.unconfirmed':
    'Planned moves that this agent went on with though hosts had not confirmed. Tags: database.',
  'move.report_lost':
    'Reports on held writes that did not reach the coordinator of a planned move. Tags: why.',
  'message.unreadable':
    'Messages of other agents, proxies and tools that this agent could not read. Tags: method.',
  'store.call': 'Calls to the store. Tags: method, outcome.',
  'membership.changed': 'Entry hosts that joined, left or failed. Tags: change.',
} as const

export type CounterName = keyof typeof DECLARED_COUNTERS | `refusal.${Reason}`

/** One counter per reason: `refusal.<reason>`. */
export const refusalCounter = (reason: Reason): CounterName => `refusal.${reason}`

export function listCounters(): readonly {
  readonly name: CounterName
  readonly meaning: string
}[] {
  const names = Object.keys(DECLARED_COUNTERS) as (keyof typeof DECLARED_COUNTERS)[]
  const declared = names.map(name => ({ name, meaning: DECLARED_COUNTERS[name] }))
  const refusals = allReasons().map(reason => ({
    name: refusalCounter(reason),
    meaning: `Requests refused with reason \`${reason}\`. Tags: class.`,
  }))
  return [...declared, ...refusals]
}
