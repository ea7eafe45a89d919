/** Explains routing decisions to operators. */
import type { BackendServerId, ClassName, DatabaseId, Milliseconds } from '@nutmegcourse/shared'
import { formatPosition, type SessionId } from '@nutmegcourse/shared'
import type { BackendServer } from './backendServer.js'
import type { Database } from './database.js'
import type { RoutingExplanation } from './proxyMessages.js'
import type { ClassState } from './proxyRequest.js'

export type RoutingQuestion =
  | { readonly kind: 'database'; readonly database: DatabaseId }
  | { readonly kind: 'class'; readonly database: DatabaseId; readonly class: ClassName }
  | { readonly kind: 'session'; readonly database: DatabaseId; readonly session: SessionId }
  | { readonly kind: 'server'; readonly server: BackendServerId }

const DISTANCES = ['same zone', 'same region', 'another region'] as const

export function explainRouting(
  question: RoutingQuestion,
  databases: ReadonlyMap<DatabaseId, Database>,
  classes: ReadonlyMap<ClassName, ClassState>,
  now: Milliseconds,
): RoutingExplanation {
  const lines = [...explainLines(question, databases, classes, now)]
  return { question: JSON.stringify(question), lines }
}

function explainLines(
  question: RoutingQuestion,
  databases: ReadonlyMap<DatabaseId, Database>,
  classes: ReadonlyMap<ClassName, ClassState>,
  now: Milliseconds,
): readonly string[] {
  if (question.kind === 'server') return explainServerById(question.server, databases, now)
  const database = databases.get(question.database)
  if (database === undefined) return ['this proxy knows no such database']
  switch (question.kind) {
    case 'database':
      return explainDatabase(database, now)
    case 'class':
      return explainClass(database, classes.get(question.class), now)
    case 'session':
      return [
        `reads of the session need at least ${formatPosition(database.sessions.requiredPosition(question.session))}`,
        'a session that roams also needs a bound asked after each arrival',
        ...explainDatabase(database, now),
      ]
  }
}

function explainDatabase(database: Database, now: Milliseconds): readonly string[] {
  const { group, writes, reads } = database
  const { record } = group
  return [
    `term ${record.term}, phase ${record.phase.kind}, primary ${group.leader?.id ?? 'unknown'}`,
    `writes ${group.isWritable(now) ? 'are sent' : 'wait'}: ${writes.queue.size} queued, ${writes.confirmingCount} wait for confirmation`,
    `${reads.awaitingCount} reads wait for a server`,
    ...group.servers.map(server => explainServer(server, database, now)),
  ]
}

function explainClass(
  database: Database,
  classState: ClassState | undefined,
  now: Milliseconds,
): readonly string[] {
  if (classState === undefined) return ['this proxy knows no such class']
  const { targets } = classState
  if (targets.access === 'write') {
    return ['writes go to the primary and wait for a majority', ...explainDatabase(database, now)]
  }
  const { freshnessMilliseconds: freshness } = targets
  return [
    `up to ${targets.replicaReadShare} of its reads may go to replicas`,
    ...database.group.servers.map(server => {
      const age = now - database.group.tracker.freshAsOf(server.id)
      if (!server.isUsable) return `${server.id}: not used (${usability(server)})`
      if (freshness === 0) return `${server.id}: used when past a bound asked after the arrival`
      const assessment = age <= freshness ? 'fresh enough' : 'too old'
      return `${server.id}: ${assessment}, at most ${formatAge(age)} old of ${freshness} ms`
    }),
  ]
}

function explainServerById(
  id: BackendServerId,
  databases: ReadonlyMap<DatabaseId, Database>,
  now: Milliseconds,
): readonly string[] {
  for (const database of databases.values()) {
    const server = database.group.server(id)
    if (server !== undefined) return [explainServer(server, database, now)]
  }
  return ['this proxy knows no such backend server']
}

function explainServer(server: BackendServer, database: Database, now: Milliseconds): string {
  const { tracker } = database.group
  const report = tracker.reportOf(server.id)
  const position = report === null ? 'position unknown' : `at ${formatPosition(report.position)}`
  const age = formatAge(now - tracker.freshAsOf(server.id))
  const { pool } = server
  return [
    `${server.id}: ${usability(server)}`,
    position,
    `at most ${age} old`,
    DISTANCES[server.distance],
    `${pool.size} of ${pool.share} connections, ${pool.busyCount} busy`,
    `${server.reads.size} reads queued`,
  ].join(', ')
}

function usability(server: BackendServer): string {
  if (server.isLeaving) return 'leaving'
  return server.breaker.isClosed ? 'usable' : 'circuit open'
}

const formatAge = (age: number): string =>
  Number.isFinite(age) ? `${Math.round(age)} ms` : 'unknown age'
