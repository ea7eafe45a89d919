/** Generates docs/ERRORS.md from the table of reasons: each error's message, cause and remedy. */
import { REASONS, allReasons, type Reason, type ReasonKind } from '@nutmegcourse/shared'

interface ErrorNote {
  readonly cause: string
  readonly action: string
}

const CALLER_REPEATS = 'Nothing while it is rare. The caller may repeat at once.'

const NOTES: Readonly<Record<Reason, ErrorNote>> = {
  no_primary: {
    cause: 'The database has no primary that takes writes, and none came within the wait.',
    action:
      'Usual for a second at a failover. If it lasts: `nutmegcoursectl explain` of the database; a majority of its backend servers must be reachable.',
  },
  primary_moving: {
    cause: 'A planned move of the primary took longer than the class may wait.',
    action: 'Wait for the move. If it lasts, the target does not catch up: look at its lag.',
  },
  no_fresh_replica: {
    cause: 'No backend server holds what the session needs within the class’s freshness.',
    action: 'Look at replication lag and at the primary; or give the class a larger freshness.',
  },
  no_bound: {
    cause:
      'A majority of the backend servers could not be asked, so it is not known what the session must see.',
    action: 'Look for a partition or stopped backend servers.',
  },
  queue_deadline: {
    cause: 'The request waited for a connection until its class’s latency had passed.',
    action: 'Load exceeds the connections: raise the class’s latency, or the database’s capacity.',
  },
  queue_full: {
    cause: 'Too many requests wait for one database at this proxy.',
    action: 'As for `queue_deadline`.',
  },
  admission_predicted_late: {
    cause: 'By the measured service time the request could not meet its class’s latency.',
    action: 'As for `queue_deadline`. The HINT says when it is worth asking again.',
  },
  confirmation_predicted_late: {
    cause: 'The replicas are too far behind to confirm a write in time.',
    action: 'Look at replication lag; a backlog on the link between regions is the usual cause.',
  },
  circuit_open: {
    cause: 'The backend server failed several times in a row and is being left alone for a moment.',
    action: 'Look at that backend server.',
  },
  connect_failed: {
    cause: 'No connection to the backend server could be opened.',
    action: 'Look at that backend server and the way to it.',
  },
  backend_refused: {
    cause: 'The backend server refused the connection or the write, and so did every other try.',
    action:
      'Look for connections that others hold: the fleet’s shares add up to the limit at most.',
  },
  stopping: {
    cause: 'The entry host stops gracefully, and the caller had nothing in flight.',
    action: 'None: the caller connects again, through the balancer, to another entry host.',
  },
  write_rolled_back: {
    cause:
      'The primary that ran the write was replaced, and its successor does not have the write.',
    action: CALLER_REPEATS,
  },
  retry_budget_spent: {
    cause: 'Too large a share of the class’s requests was being repeated already.',
    action: 'Look for the backend server that breaks connections.',
  },
  transaction_lost: {
    cause: 'The connection that held the transaction broke between two statements.',
    action: 'None: the caller repeats its transaction from the start.',
  },
  confirmation_timeout: {
    cause: 'The primary ran the write, and no majority said in time that it holds it.',
    action:
      'The caller must look whether the write is there before it repeats it. Look at replication lag and partitions.',
  },
  connection_lost: {
    cause: 'The connection broke after the request was sent and before its whole answer came.',
    action:
      'The caller must look whether the work is there before it repeats it. Classes marked idempotent are repeated by the proxy itself.',
  },
  deadline_while_running: {
    cause:
      'The backend server was silent beyond the request’s deadline; its connection was closed.',
    action: 'As for `connection_lost`. Look for a frozen backend server.',
  },
  unknown_class: {
    cause: 'The class named by the connection or the statement does not exist, or none is named.',
    action:
      '`nutmegcoursectl get` lists the classes; a default may be given by user or application.',
  },
  unknown_database: {
    cause: 'The fleet serves no database of that name.',
    action: 'Mend the connection string.',
  },
  write_in_read_class: {
    cause: 'A statement of a class that reads tried to write; the backend server refused it.',
    action: 'Name a class that writes, in the connection’s options or in the statement’s comment.',
  },
  unsupported: {
    cause:
      'COPY, LISTEN, PREPARE, function calls, replication connections, old protocols, or more SET statements than are kept.',
    action: 'Use another way for this work; see docs/design/01-wire.md.',
  },
  malformed: {
    cause:
      'The bytes are no message of the PostgreSQL 3.0 protocol, or settings at startup are wrong.',
    action: 'Look at the client. Only its own connection is closed.',
  },
  too_large: {
    cause: 'One message, or messages without Sync, exceed `messageLimitBytes`.',
    action: 'Send less at once, or raise the setting.',
  },
  too_many_callers: {
    cause: 'The proxy has `callerLimit` callers.',
    action: 'Look for clients that leak connections, raise the setting, or add entry hosts.',
  },
  no_configuration: {
    cause: 'The entry host has just started and has learned no targets yet.',
    action: 'If it lasts: the agent reaches neither the store nor any other agent.',
  },
}

const KIND_TITLES: Readonly<Record<ReasonKind, string>> = {
  notRun: 'Not run',
  outcomeUnknown: 'Outcome unknown',
  callerMistake: 'The caller’s mistake',
}

const KIND_TEXTS: Readonly<Record<ReasonKind, string>> = {
  notRun:
    'No part of the request ran, or all of it was discarded for good. It is safe to ask again, not before the time in the HINT.',
  outcomeUnknown:
    'The request may have run. Look before repeating it; only idempotent work may be repeated blindly.',
  callerMistake: 'Asking again gives the same error.',
}

const HEAD = `# Errors

Errors of the backend servers pass through unchanged. Those of the fleet itself look like this:

    ERROR:  no_primary: no backend server leads the database now
    HINT:   retry-after-milliseconds=250

The message starts with the reason, which is stable, and is also the name of its counter:
\`refusal.<reason>\`. The HINT is there when asking again can help.
This page is made by \`node scripts/generateDocs.js\`.
`

export function describeErrors(): string {
  const kinds = Object.keys(KIND_TITLES) as ReasonKind[]
  return `${HEAD}${kinds.map(describeKind).join('')}`
}

function describeKind(kind: ReasonKind): string {
  const rows = allReasons()
    .filter(reason => REASONS[reason].kind === kind)
    .map(reason => {
      const { sqlState, message } = REASONS[reason]
      const { cause, action } = NOTES[reason]
      return `| \`${reason}\` | ${sqlState} | ${message} | ${cause} | ${action} |`
    })
  const title = `\n## ${KIND_TITLES[kind]}\n\n${KIND_TEXTS[kind]}\n\n`
  const header = '| reason | SQLSTATE | message | cause | what to do |\n|---|---|---|---|---|\n'
  return `${title}${header}${rows.join('\n')}\n`
}
