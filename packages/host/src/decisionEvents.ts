/**
 * Every event that an entry host logs: when, and what its fields say. docs/LOGS.md is made from
 * this table.
 */

interface EventDescription {
  readonly when: string
  readonly fields: Readonly<Record<string, string>>
}

const SERVER_FIELDS = {
  server: 'id of the backend server',
  service: 'its service',
  role: 'what its entry says: primary or replica',
  zone: 'its availability zone',
  isLeaving: 'whether it is about to stop',
}

export const EVENTS = {
  started: { when: 'The process starts.', fields: { settings: 'path of its settings file' } },
  stopping: { when: 'A signal to stop came.', fields: {} },
  stop_step: {
    when: 'A step of the planned stop is over.',
    fields: {
      step: 'restingClosed, intakeClosed, transactionsEnded or ended',
      sessions: 'sessions that are open',
      busySessions: 'of them, with a statement owed or a transaction open',
      isRelaying: 'whether statements or transactions run here for other hosts',
      elapsedMilliseconds: 'since the signal',
    },
  },
  session_cut: {
    when: 'The planned stop ends while a caller is owed an answer or has a transaction open.',
    fields: {
      request: 'id of the statement; null for none',
      database: 'what the caller named',
      statement: 'read, write, commit, execute or another kind; null for none',
      transaction: 'none, declared, running or failed',
      owedMilliseconds: 'since the statement came',
      takenMilliseconds: 'when the session was taken, from the signal on; below 0: before it',
    },
  },
  statement_dropped: {
    when: 'A statement came behind the end of its session, and was not run; its caller was told that before.',
    fields: {
      request: 'id of the statement',
      database: 'what the caller named',
      lateMilliseconds: 'since the end of the session',
    },
  },
  stopped: { when: 'All work has ended, or the grace is nearly over.', fields: {} },
  stood_still: {
    when: 'The process did nothing for longer than it should; others may have taken it for silent.',
    fields: { milliseconds: 'since it last looked at what is due; a quarter of a second or more' },
  },
  reloaded: {
    when: 'A signal said that the settings file changed.',
    fields: { mistakes: 'what is wrong with the file; empty when it is good' },
  },
  lines_left_out: {
    when: 'An event came more often than its budget of lines a second.',
    fields: { of: 'the event', lines: 'how many were left out' },
  },
  configuration_taken: {
    when: 'A newer configuration is in force.',
    fields: { version: 'its version', routes: 'number of its routes' },
  },
  entry_unreadable: {
    when: 'An item of the store names nothing that can be used.',
    fields: { key: 'its key', detail: 'what is missing' },
  },
  store_lost: {
    when: 'A call to the store failed after others had not.',
    fields: { kind: 'unavailable (nothing done), noAnswer, unexpected', detail: 'the reason' },
  },
  store_back: {
    when: 'The store answers again, or another host of the zone tells what it holds.',
    fields: { revision: 'its revision' },
  },
  store_restored: {
    when: 'The store has come back from an older copy; what was written since is written again.',
    fields: { era: 'how often it has been restored', revision: 'its revision' },
  },
  store_history_gone: {
    when: 'The store no longer has the history that this host needs; everything is listed again.',
    fields: { revision: 'the last revision that was known' },
  },
  news_not_told: {
    when: 'Another host of the zone, through which this one follows the store, did not tell; the store is asked.',
    fields: { host: 'the other host', reason: 'noAnswer, declined or behind' },
  },
  registration_failed: {
    when: 'This host could not tell the others that it runs; it tries again.',
    fields: { why: 'the failure' },
  },
  server_appeared: { when: 'A backend server, or a new life of one.', fields: SERVER_FIELDS },
  server_changed: { when: 'The entry of a backend server changed.', fields: SERVER_FIELDS },
  server_unlisted: {
    when: 'The entry of a backend server is gone; it is kept as a last resort for a while.',
    fields: SERVER_FIELDS,
  },
  server_removed: { when: 'A backend server is no longer used.', fields: SERVER_FIELDS },
  owners_planned: {
    when: 'Other hosts than before hold the connections to a service, by what this host knows.',
    fields: {
      service: 'the service',
      hosts: 'hosts that are known to run',
      owners: 'those that hold connections',
      isOwned: 'whether this host does',
    },
  },
  primary_believed: {
    when: 'This host takes another server for the primary of a service, or none.',
    fields: {
      service: 'the service',
      primary: 'the server; null for none',
      source: 'entry, answer, probe or change: where the news came from',
    },
  },
  primary_suspected: {
    when: 'The primary is silent for some host; this one tells the others what it sees itself.',
    fields: {
      service: 'the service',
      primary: 'the server',
      reaches: 'true: this host reaches it; false: it is silent here too',
    },
  },
  vote_failed: {
    when: 'The word to the others about a silent primary got lost.',
    fields: { kind: 'as for store_lost', detail: 'the reason' },
  },
  change_claimed: {
    when: 'This host begins to change the primary of a service.',
    fields: {
      service: 'the service',
      reason: 'silent, leaving or abandoned (by another host)',
      token: 'the fencing token',
      primary: 'the old primary',
    },
  },
  claim_failed: {
    when: 'The claim to a change was not made.',
    fields: { service: 'the service', why: 'conflict: another host was first; else the failure' },
  },
  claim_lost: {
    when: 'The claim ended before the change was done.',
    fields: { service: 'the service', token: 'its fencing token' },
  },
  change_waits: {
    when: 'No server can be promoted safely now; it is tried again.',
    fields: {
      service: 'the service',
      kind: 'noReplica, unknownReplica (it may hold more) or notCaughtUp',
      server: 'the server that stands in the way',
    },
  },
  primary_chosen: {
    when: 'The new primary is chosen.',
    fields: {
      service: 'the service',
      token: 'the fencing token',
      server: 'the server',
      position: 'the end of its log',
      positions: 'where the other replicas stand',
      how: 'candidateHoldsAll, furthestOfAll or oldPrimarySteppedDown',
    },
  },
  promotion_ordered: {
    when: 'The platform was asked to promote a server.',
    fields: {
      service: 'the service',
      server: 'the server',
      holder: 'this host',
      fencingToken: 'the token',
      outcome: 'accepted, rejected, unavailable or noAnswer',
    },
  },
  replica_resumed: {
    when: 'A replica was still paused after a change and receives again.',
    fields: {
      service: 'the service',
      server: 'the replica',
      pausedFor: 'the term it was paused for',
      answered: 'whether it said so',
    },
  },
  change_done: {
    when: 'The new primary leads.',
    fields: {
      service: 'the service',
      primary: 'the server',
      token: 'the fencing token',
      recorded: 'made, conflict, or why the record in the store failed',
    },
  },
  change_given_up: {
    when: 'The change was not done in all its rounds.',
    fields: { service: 'the service', token: 'the fencing token' },
  },
  order_unanswered: {
    when: 'A backend server did not answer an order of a change.',
    fields: {
      service: 'the service',
      server: 'the server',
      order: 'report, pause, resume, stepDown',
    },
  },
  connection_not_opened: {
    when: 'A connection to a backend server was refused or not answered.',
    fields: {
      server: 'the server',
      service: 'its service',
      kind: 'connectionRefused, connectionLost or rejected',
      refusal: 'why it was rejected',
      detail: 'the server’s words',
      waiting: 'statements that wait for a connection there',
      held: 'connections that this host has there',
    },
  },
  try_failed: {
    when: 'One try of a statement on one server failed; it may be tried again.',
    fields: {
      request: 'id of the statement',
      route: 'its route',
      server: 'the server',
      kind: 'refused, lost (connection) or overdue',
      reason: 'refusal, failure or kind: a counter each',
      refusal: 'why it was refused',
      failure: 'how the connection was lost',
      tookMilliseconds: 'since it was sent',
    },
  },
  read_hedged: {
    when: 'A read took long at one server and was given to a second one too.',
    fields: { request: 'id of the statement', first: 'the slow server', second: 'the other one' },
  },
  statement_refused: {
    when: 'A caller got no ordinary answer.',
    fields: {
      request: 'id of the statement',
      database: 'what the caller named',
      route: 'the route',
      statement: 'read, write, commit or execute',
      write: 'whether it writes',
      primary: 'who was taken for the primary',
      refusal: 'what the caller was told',
      reason: 'what became of the last try, or why none was made: a counter each',
      detail: 'the last failure, and when to come back',
      tookMilliseconds: 'since the statement came',
    },
  },
  statement_late: {
    when: 'A caller was answered later than its route aims at.',
    fields: {
      request: 'id of the statement',
      database: 'what the caller named',
      route: 'the route',
      statement: 'read, write, commit or execute',
      primary: 'who is taken for the primary',
      newsMilliseconds: 'of it, waiting for a primary or for a bound on freshness',
      connectionMilliseconds: 'of it, waiting for connections',
      tries: 'tries at servers; 0 where another host ran it',
      tookMilliseconds: 'since the statement came',
    },
  },
  session_refused: {
    when: 'A session was turned away or ended for a mistake of its caller.',
    fields: { database: 'what it named', refusal: 'what it was told', detail: 'why' },
  },
  limit_reached: {
    when: 'An operation was refused because its customer has used up its limit.',
    fields: { customer: 'the customer', waitMilliseconds: 'until the next one may run' },
  },
  limit_unknown: {
    when: 'An operation was refused because no host that holds a part of its customer’s limit could be asked.',
    fields: { customer: 'the customer' },
  },
  idle_transaction_ended: {
    when: 'A transaction rested too long and was rolled back.',
    fields: { database: 'the database', limit: 'the configured time, in milliseconds' },
  },
  relay_lost: {
    when: 'Another host that runs statements for this one can not be reached.',
    fields: { host: 'the host', why: 'connectRefused, connectTimeout or silent' },
  },
  relay_failed: {
    when: 'A statement that was handed to another host got no answer there.',
    fields: {
      request: 'id of the statement',
      service: 'the service',
      host: 'the host',
      outcome: 'notSent, lost or overdue',
    },
  },
  not_listening: {
    when: 'A port of the settings can not be listened at. Without callers or readiness the process ends with code 3.',
    fields: { what: 'callers, readiness or metrics', detail: 'the reason' },
  },
  relay_not_listening: {
    when: 'This host can not run statements for others.',
    fields: { detail: 'the reason' },
  },
} as const satisfies Record<string, EventDescription>

export type EventName = keyof typeof EVENTS

/** docs/LOGS.md. */
export function describeEvents(): string {
  const lines = [
    '# Logs of an entry host',
    '',
    'Made from packages/host/src/decisionEvents.ts by `node scripts/generateDocs.js`; do not edit.',
    '',
    'One JSON object a line on standard output. Each has `message` (the event), `entryHost`, `zone` and',
    '`timestamp` (the host’s time of day), and the fields below. An event writes at most 15 lines a second,',
    '`statement_refused` 100;',
    '`lines_left_out` says how many more there were. What a slow reader has not taken is dropped beyond',
    '256 KiB, and `lines_dropped` counts it.',
    '',
    '| event | when | fields |',
    '|---|---|---|',
  ]
  for (const [name, { when, fields }] of Object.entries(EVENTS)) {
    const described = Object.entries(fields).map(([field, meaning]) => `\`${field}\`: ${meaning}`)
    lines.push(`| \`${name}\` | ${when} | ${described.join('; ')} |`)
  }
  return `${lines.join('\n')}\n`
}
