/**
 * Every event that an entry host logs: when it is written, and what its fields mean. docs/LOGS.md is
 * generated from this table.
 */

interface EventDescription {
  readonly when: string
  readonly fields: Readonly<Record<string, string>>
}

const SERVER_FIELDS = {
  server: 'id of the backend server',
  service: 'its service',
  role: 'the role in its entry: primary or replica',
  zone: 'its availability zone',
  isLeaving: 'whether it is about to stop',
  address: 'its host and port; a server that starts there has taken its place',
}

const ORDER_FIELDS = {
  askedTerm: 'the term of the order; null for report and resume',
  attempts: 'how often it was sent',
  busy: 'attempts that the server refused because it was full',
  unanswered: 'attempts without an answer; each may be carried out later',
  through: 'the host through which the server was reached; null if it was asked directly',
  tookMilliseconds: 'over all attempts',
}

/** What a host knows of the store. */
const KNOWLEDGE_FIELDS = {
  version: 'of the configuration that this host has; null for none',
  revision: 'of the store up to which it knows all changes',
  source: 'from whom it has them: store or another host',
  knownMilliseconds: 'how long ago it knew all of the store; null before its first list',
}

export const EVENTS = {
  started: { when: 'The process starts.', fields: { settings: 'path of its settings file' } },
  stopping: { when: 'The process received a signal to stop.', fields: {} },
  stop_step: {
    when: 'A step of the planned stop is over.',
    fields: {
      step: 'restingClosed, intakeClosed, transactionsEnded or ended',
      sessions: 'sessions that are open',
      busySessions: 'of them, those with an unanswered statement or an open transaction',
      isRelaying: 'whether statements or transactions run here for other hosts',
      elapsedMilliseconds: 'since the signal',
    },
  },
  session_cut: {
    when: 'The planned stop ends while a caller has an unanswered statement or an open transaction.',
    fields: {
      request: 'id of the statement; null for none',
      database: 'the database that the caller named',
      statement: 'read, write, commit, execute or another kind; null for none',
      transaction: 'none, declared, running or failed',
      owedMilliseconds: 'since the statement arrived',
      takenMilliseconds:
        'when the session was accepted, counted from the signal; negative: before it',
    },
  },
  statement_dropped: {
    when: 'A statement arrived after the end of its session and was not run; the caller had been notified of the end.',
    fields: {
      request: 'id of the statement',
      database: 'the database that the caller named',
      lateMilliseconds: 'since the end of the session',
    },
  },
  stopped: { when: 'All work has ended, or the grace period is nearly over.', fields: {} },
  stood_still: {
    when: 'The process was stalled; other hosts may have considered it silent.',
    fields: { milliseconds: 'since its last tick; a quarter of a second or more' },
  },
  reloaded: {
    when: 'The process received a signal to read the settings file again.',
    fields: { mistakes: 'errors in the file; empty when it is valid' },
  },
  lines_left_out: {
    when: 'An event occurred more often than its limit of lines a second.',
    fields: { of: 'the event', lines: 'how many were left out' },
  },
  configuration_taken: {
    when: 'A newer configuration came into force.',
    fields: {
      ...KNOWLEDGE_FIELDS,
      version: 'its version',
      before: 'the version before; null for none',
      routes: 'number of its routes',
    },
  },
  configuration_passed_over: {
    when: 'A configuration was received that is older than the one in force, or differs from it under the same version.',
    fields: { ...KNOWLEDGE_FIELDS, received: 'the version that was received' },
  },
  configuration_unconfirmed: {
    when: 'This host has not known all of the store for longer than a configuration may take to be in force. It serves the routes that it has, and refuses unknown databases as not run.',
    fields: KNOWLEDGE_FIELDS,
  },
  configuration_confirmed: {
    when: 'This host can tell again which configuration is in force.',
    fields: KNOWLEDGE_FIELDS,
  },
  route_unreadable: {
    when: 'A route of the configuration cannot be read and is left out; the others hold.',
    fields: {
      version: 'of the configuration',
      route: 'its name or place',
      detail: 'what is missing',
    },
  },
  source_changed: {
    when: 'Changes of the store come from elsewhere: from the store, or through another host.',
    fields: { ...KNOWLEDGE_FIELDS, before: 'from where they came before' },
  },
  change_failed: {
    when: 'A change of the store could not be applied; the changes after it are.',
    fields: { key: 'what it concerns', detail: 'the error' },
  },
  following_failed: {
    when: 'Following the store failed by an error of this host; it goes on.',
    fields: { revision: 'of the store as last known', detail: 'the error' },
  },
  entry_unreadable: {
    when: 'An item of the store cannot be read.',
    fields: { key: 'its key', detail: 'what is missing' },
  },
  store_lost: {
    when: 'A call to the store failed after earlier calls had succeeded.',
    fields: {
      kind: 'unavailable (the call had no effect), noAnswer or unexpected',
      detail: 'the reason',
      ...KNOWLEDGE_FIELDS,
    },
  },
  store_still_lost: {
    when: 'A call to the store failed again while this host cannot tell which configuration is in force.',
    fields: { kind: 'as for store_lost', detail: 'the reason', ...KNOWLEDGE_FIELDS },
  },
  store_back: {
    when: 'The store answers again, or another host of the zone forwards its changes.',
    fields: { revision: 'its revision' },
  },
  store_restored: {
    when: 'The store was restored from an older copy; hosts write their later records again.',
    fields: { era: 'how many times it has been restored', revision: 'its revision' },
  },
  store_history_gone: {
    when: 'The store has compacted the history that this host needs; everything is listed again.',
    fields: { revision: 'the last revision that was known' },
  },
  news_not_told: {
    when: 'Another host, through which this one follows the store, sent no changes; the next host or the store is asked.',
    fields: { host: 'the other host', reason: 'noAnswer, declined, behind, outdated or malformed' },
  },
  registration_failed: {
    when: 'This host could not register in the store; it tries again.',
    fields: { why: 'the failure' },
  },
  server_appeared: {
    when: 'A backend server, or a new incarnation of one, was listed.',
    fields: SERVER_FIELDS,
  },
  server_changed: { when: 'The entry of a backend server changed.', fields: SERVER_FIELDS },
  server_unlisted: {
    when: 'The entry of a backend server is gone; it is kept as a last resort for a while.',
    fields: SERVER_FIELDS,
  },
  server_removed: { when: 'A backend server is no longer used.', fields: SERVER_FIELDS },
  server_ejected: {
    when: 'A backend server fails more than the others of its service, or is much slower, while it is listed as ready. This host gives it reads only as a last resort, and writes as before.',
    fields: {
      server: 'id of the backend server',
      service: 'its service',
      reason: 'consecutiveFailures, failureShare, busyShare (refusals for its load) or latency',
      forMilliseconds:
        'after this time one read that it answers ends the ejection; before, five in a row do',
      consecutiveFailures: 'failures since its last answer',
      statements: 'its statements of the last two seconds',
      failureShare:
        'of them, the share that failed; refusals for its load count unless others refuse as well',
      othersFailureShare: 'the same share of the other servers that are in use',
      latencyMilliseconds: 'median latency of its last reads; null where too few are known',
      othersLatencyMilliseconds: 'that of the others in the same time',
    },
  },
  server_admitted: {
    when: 'A backend server that had been ejected answered the reads that tested it, and gets its work again.',
    fields: {
      server: 'id of the backend server',
      service: 'its service',
      afterMilliseconds: 'since it was ejected',
    },
  },
  owners_planned: {
    when: 'This host planned another set of hosts to hold the connections to a service.',
    fields: {
      service: 'the service',
      hosts: 'hosts that are known to run',
      owners: 'the hosts that hold connections',
      isOwned: 'whether this host is one of them',
    },
  },
  primary_believed: {
    when: 'This host considers another server, or none, the primary of a service.',
    fields: {
      service: 'the service',
      primary: 'the server; null for none',
      source: 'where the information came from: entry, answer, probe or change',
    },
  },
  primary_suspected: {
    when: 'The primary is silent for some host; this one publishes whether it reaches the primary.',
    fields: {
      service: 'the service',
      primary: 'the server',
      reaches: 'true: this host reaches it; false: it is silent here too',
    },
  },
  vote_failed: {
    when: 'The vote of this host on a silent primary could not be written.',
    fields: { kind: 'as for store_lost', detail: 'the reason' },
  },
  change_claimed: {
    when: 'This host has claimed the change of the primary of a service.',
    fields: {
      service: 'the service',
      reason: 'silent, leaving, missing (no server leads) or abandoned (by another host)',
      token: 'the fencing token',
      primary: 'the old primary',
      hasUnfinishedOrder: 'whether an order to promote of an earlier claim may still take effect',
    },
  },
  claim_failed: {
    when: 'A claim to change the primary was not made.',
    fields: {
      service: 'the service',
      why: 'conflict: another host was first; otherwise the failure',
    },
  },
  claim_lost: {
    when: 'The claim ended before the change was done.',
    fields: { service: 'the service', token: 'its fencing token' },
  },
  change_round: {
    when: 'A round of a change of primary begins: what this host knows of the group.',
    fields: {
      service: 'the service',
      token: 'the fencing token',
      round: 'counted from 0',
      group:
        'each server: state (listed; unlisted: its entry has lapsed; removed: within the last minute), source (list, restoredList: of a store restored from a copy, or change), sinceMilliseconds (since its entry was last heard, or since it lapsed or was removed), role in its entry, isLeaving',
      listedMilliseconds: 'since this host received its first list from the store; null for none',
      lastListMilliseconds: 'since it last received a full list',
      primary: 'the believed primary; null for none',
      source: 'where the last evidence for it came from, as for primary_believed',
      evidenceMilliseconds: 'since that evidence',
    },
  },
  member_recorded: {
    when: 'The store names a server that may hold acknowledged writes, and that it does not list.',
    fields: {
      service: 'the service',
      server: 'the server',
      address: 'its host and port',
      hasEnded: 'whether it has ended for good',
    },
  },
  members_written: {
    when: 'The record of the servers that may hold acknowledged writes was written.',
    fields: { service: 'the service', members: 'the servers' },
  },
  members_not_written: {
    when: 'The record of the members could not be written, and is written again.',
    fields: { service: 'the service', why: 'how the call failed' },
  },
  change_waits: {
    when: 'No server can be promoted safely yet; the choice is repeated.',
    fields: {
      service: 'the service',
      token: 'the fencing token',
      kind: 'noReplica, unknownReplica (it may hold more), incompleteList, primaryNotStopped, groupChanged (it joined or started again after the group was asked), shortLog (it lacks what a replica was seen to have), orderPending (its promotion was ordered without an answer) or newerTerm (another promotion took effect)',
      server: 'the server that prevents it',
      position: 'for shortLog: the end of its log',
      known:
        'for shortLog: the furthest position that a replica was seen to have, and that replica',
      awaited: 'for shortLog: the servers that may bring the rest',
      missing:
        'for unknownReplica: the servers that may hold acknowledged writes and did not answer, with the position up to which they may hold them (null: unknown) and whether they may return with their log',
    },
  },
  primary_chosen: {
    when: 'The new primary is chosen.',
    fields: {
      service: 'the service',
      token: 'the fencing token',
      server: 'the server',
      position: 'the end of its log',
      newestTerm: 'the newest term that any server reported',
      pausedFor: 'the term for which the others are paused',
      frozen: 'the servers that receive no writes until then, with the ends of their logs',
      missing: 'listed servers that did not answer',
      mayReturn: 'servers that were not paused and may return with a log',
      mayTakeOver: 'servers without a log, which may take over that of a leaving one',
      leader: 'the server that reported that it leads; null if none did',
      how: 'candidateHoldsAll, furthestOfFrozen, primaryStopped (it holds the last write of the primary, which stepped down) or primaryKept (only older orders to promote are cancelled)',
    },
  },
  token_renewed: {
    when: 'An order to promote got no answer; a newer token ends it.',
    fields: {
      service: 'the service',
      token: 'the new fencing token',
      before: 'the token before it',
    },
  },
  token_not_renewed: {
    when: 'The newer token could not be written; only the server that was ordered may be ordered again.',
    fields: { service: 'the service', token: 'the fencing token', why: 'how the call failed' },
  },
  received_not_recorded: {
    when: 'What a replica was seen to have received could not be left for the next holder of a claim.',
    fields: { service: 'the service', token: 'the fencing token', why: 'how the call failed' },
  },
  member_joined: {
    when: 'A server joined the group after the choice, and was paused until the promotion takes effect.',
    fields: {
      service: 'the service',
      token: 'the fencing token',
      server: 'the server',
      position: 'the end of its log when it was paused',
    },
  },
  promotion_unresolved: {
    when: 'It is unknown whether an order to promote takes effect; the next claim allows for it.',
    fields: { service: 'the service', token: 'the fencing token', server: 'the server' },
  },
  promotion_ordered: {
    when: 'The platform was asked to promote a server.',
    fields: {
      service: 'the service',
      server: 'the server',
      holder: 'this host',
      fencingToken: 'the token',
      outcome: 'accepted, rejected, unavailable or noAnswer',
      attempt: 'the orders of this claim before it that got no answer',
      tookMilliseconds: 'since this attempt was sent',
    },
  },
  pause_ended: {
    when: 'A replica that had been paused in this change received again before a promotion took effect. It may acknowledge writes that the chosen server lacks.',
    fields: {
      service: 'the service',
      token: 'the fencing token of the change',
      reason:
        'receives (it is not paused any more: it restarted, an order to resume reached it, or a promotion that this host has not seen yet took effect) or logGrew (its log has grown since); each is counted separately',
      server: 'the replica',
      pausedFor: 'the term for which it was paused',
      pausedAt: 'the end of its log then',
      position: 'the end of its log now',
      afterMilliseconds: 'since its answer to the first pause',
    },
  },
  promotion_effective: {
    when: 'A server reported for the first time that it leads, during a change of primary.',
    fields: {
      service: 'the service',
      token: 'the fencing token of the change',
      server: 'the new primary',
      term: 'the term that it leads',
      position: 'the end of its log, at or past the start of the term',
      afterMilliseconds:
        'since this host first ordered its promotion; null if another host ordered it',
      positions:
        'the furthest position of each server in this change, its age, and whether the server may have been the primary before',
    },
  },
  acknowledged_writes_missing: {
    when: 'The log of a new primary lacks records that a replica had received. Writes of them were probably acknowledged. A line of level warn.',
    fields: {
      service: 'the service',
      token: 'the fencing token of the change',
      reason:
        'replicaAhead (another server had them) or ownLogShorter (the new primary itself had them); each is counted separately',
      server: 'the new primary',
      term: 'the term that it leads',
      position: 'the end of its log in its first report as primary',
      ahead: 'each server that had more: its position, and at least how many records are missing',
    },
  },
  promoted_log_behind: {
    when: 'The log of a new primary ends before a position that this host had seen. The records between them may never have been acknowledged: a primary that stops has often written one or two that no replica received, and a server that has just been promoted may not have applied all it received. Many records, or a replica that had them, mean a lost write. Also written by hosts that took no part in the change.',
    fields: {
      service: 'the service',
      token:
        'the fencing token of the change; null when statements, not the orders of a change, told the positions',
      reason:
        'oldPrimaryAhead (a report of the old primary in the change), primaryAnswer (its answers to statements) or replicaAnswer (those of a replica); each is counted separately',
      server: 'the new primary',
      term: 'the term that it leads; for answers to statements, the term of its position',
      position: 'the end of its log when it first answered as primary',
      ahead: 'each server that had more: its position, and at least how many records are missing',
    },
  },
  replica_resumed: {
    when: 'A replica that was still paused after a change was ordered to resume.',
    fields: {
      service: 'the service',
      token: 'the fencing token',
      server: 'the replica',
      pausedFor: 'the term for which it was paused',
      answered: 'whether it confirmed',
    },
  },
  done_not_recorded: {
    when: 'The record that a change of primary is done was not written; it is written again.',
    fields: {
      service: 'the service',
      token: 'the fencing token',
      why: 'the failure, as for store_lost',
    },
  },
  change_done: {
    when: 'The new primary is in place.',
    fields: {
      service: 'the service',
      primary: 'the server',
      token: 'the fencing token',
      recorded: 'made, conflict, or why the record could not be written to the store',
    },
  },
  change_given_up: {
    when: 'A change of primary was abandoned after all its rounds.',
    fields: { service: 'the service', token: 'the fencing token' },
  },
  order_unanswered: {
    when: 'A backend server did not answer an order during a change of primary.',
    fields: {
      service: 'the service',
      server: 'the server',
      token: 'the fencing token of the change',
      order: 'report, pause, resume or stepDown',
      ...ORDER_FIELDS,
    },
  },
  order_answered: {
    when: 'A backend server answered an order during a change of primary. An answer like the last one of that server to the same order is left out, and so is one of a server that receives, with only a later position, within half a second.',
    fields: {
      service: 'the service',
      server: 'the server',
      token: 'the fencing token of the change',
      order: 'report, pause, resume or stepDown',
      ...ORDER_FIELDS,
      role: 'its role: primary or replica',
      term: 'its term',
      position: 'the end of its log',
      pausedFor: 'the term for which it is paused; 0 while it receives',
      leftOut: 'answers since the last line of this order to this server',
    },
  },
  connection_not_opened: {
    when: 'A connection to a backend server was refused or not answered.',
    fields: {
      server: 'the server',
      service: 'its service',
      kind: 'connectionRefused, connectionLost, rejected, malformedAnswer or unwritable (a name that no message can hold)',
      refusal: 'why it was rejected',
      detail: 'the message of the server, or the name that cannot be written',
      unfit: 'for malformedAnswer: with the fields of answer_unfit',
      waiting: 'statements that wait for a connection there',
      held: 'connections that this host holds there',
    },
  },
  try_failed: {
    when: 'One attempt to run a statement on a server failed; it may be retried.',
    fields: {
      request: 'id of the statement',
      route: 'its route',
      server: 'the server',
      kind: 'refused, lost (connection), overdue, notSent or unwritable',
      reason: 'refusal, failure or kind; each is counted separately',
      refusal: 'why it was refused',
      failure: 'how the connection was lost',
      unfit: 'for malformedAnswer: the answer that was not used, with the fields of answer_unfit',
      tookMilliseconds: 'since it was sent',
      ...KNOWLEDGE_FIELDS,
    },
  },
  answer_unfit: {
    when: 'An answer of a backend server may belong to another command or is not whole. It was not used, and the connection was closed: the outcome of the commands that waited on it is unknown.',
    fields: {
      server: 'the server',
      service: 'its service',
      reason:
        'repeatedSignature (the connection had brought it before), unsigned, signed, status (of the transaction), rows, noCommandWaiting, refused (a command that succeeds on any usable connection), framing or tooLong; each is counted separately',
      command: 'the command that waited for it; null for none',
      previousCommand: 'the command that was answered before; null for none',
      connection: 'number of the connection in this process',
      connectionAgeMilliseconds: 'since it was opened',
      commandsSent: 'on the connection',
      answersReceived: 'on the connection, without this one',
      answersConfirmed: 'of these, those that were used only after a later answer confirmed them',
      messages: 'the first bytes of the answer, escaped, without rows',
    },
  },
  answer_unwritable: {
    when: 'An answer could not be sent to a caller, since a field of it holds what ends a message. The session was closed.',
    fields: {
      request: 'id of the statement',
      database: 'the database that the caller named',
      detail: 'which field',
    },
  },
  slot_refused: {
    when: 'A statement was refused at once, because its turn at the server would come too late to answer it in time.',
    fields: {
      request: 'id of the statement',
      route: 'its route',
      priority: 'the priority of its class; 0 is the highest',
      customer: 'its customer; null where customers are not distinguished',
      server: 'the server',
      ahead: 'statements that would be served before it',
      decidedBy:
        'what the forecast consists of for the most part: queue (what waits and runs), higherClasses (what these are expected to send meanwhile), customer (its customer has more waiting than its share), target (it would miss its target, and what can still meet one goes first) or returning (callers that were told when to return)',
      forecastMilliseconds:
        'until its turn; a newcomer is also refused if it is below leftMilliseconds by less than its own uncertainty',
      leftMilliseconds: 'until the latest time at which it could start',
      retryAfterMilliseconds: 'when the caller should return',
      limit: 'statements that the server may have in flight',
      inFlight: 'statements in flight there',
      waiting: 'statements that wait for a slot',
    },
  },
  slot_overdue: {
    when: 'A statement waited for a slot until it was too late to answer it in time.',
    fields: {
      request: 'id of the statement',
      route: 'its route',
      priority: 'the priority of its class; 0 is the highest',
      customer: 'its customer; null where customers are not distinguished',
      server: 'the server',
      ahead: 'statements that were to be served before it when it began to wait',
      forecastMilliseconds: 'until its turn, as expected then',
      waitedMilliseconds: 'since it arrived',
      limit: 'statements that the server may have in flight',
      inFlight: 'statements in flight there',
      waiting: 'statements that wait for a slot',
    },
  },
  read_hedged: {
    when: 'A read took long at one server and was sent to a second one too.',
    fields: { request: 'id of the statement', first: 'the slow server', second: 'the other one' },
  },
  statement_refused: {
    when: 'A caller received no regular answer to a statement.',
    fields: {
      request: 'id of the statement',
      database: 'the database that the caller named',
      route: 'the route',
      priority: 'the priority of its class; only where slots are scheduled',
      customer:
        'its customer, null where customers are not distinguished; only where slots are scheduled',
      statement: 'read, write, commit or execute',
      write: 'whether it writes',
      primary: 'the server considered the primary',
      refusal: 'the refusal sent to the caller',
      reason: 'the result of the last attempt, or why none was made; each is counted separately',
      detail: 'the last failure, and when to try again',
      tookMilliseconds: 'since the statement arrived',
      ...KNOWLEDGE_FIELDS,
    },
  },
  statement_late: {
    when: 'A statement was answered later than the latency target of its route.',
    fields: {
      request: 'id of the statement',
      database: 'the database that the caller named',
      route: 'the route',
      statement: 'read, write, commit or execute',
      primary: 'the server considered the primary',
      newsMilliseconds:
        'part of tookMilliseconds spent waiting for a primary or for a bound on freshness',
      connectionMilliseconds: 'part of tookMilliseconds spent waiting for connections',
      tries: 'attempts at servers; 0 where another host ran it',
      tookMilliseconds: 'since the statement arrived',
    },
  },
  session_refused: {
    when: 'A session was refused, or ended because of an error of its caller.',
    fields: {
      database: 'the database that the caller named',
      refusal: 'the refusal sent to the caller',
      reason: 'the same; each is counted separately',
      detail: 'the reason',
      ...KNOWLEDGE_FIELDS,
    },
  },
  limit_reached: {
    when: 'An operation was refused because its customer has used up its limit.',
    fields: {
      request:
        'id of the statement that begins it; like the next three, only where slots are scheduled',
      route: 'its route',
      priority: 'the priority of its class',
      operationsPerSecond: 'the limit',
      customer: 'the customer',
      waitMilliseconds: 'until the next operation may run',
    },
  },
  limit_unknown: {
    when: 'An operation was refused because no host that holds a part of its customer’s limit was reachable, or too few to tell whether it is used up.',
    fields: {
      request:
        'id of the statement that begins it; like the next three, only where slots are scheduled',
      route: 'its route',
      priority: 'the priority of its class',
      holders: 'the hosts that hold a part of the limit',
      customer: 'the customer',
    },
  },
  limit_invalid: {
    when: 'The limit of a customer is negative or not a number. It counts as 0, so none of its operations runs.',
    fields: {
      customer: 'the customer',
      operationsPerSecond: 'the limit; null if it is not a number',
    },
  },
  idle_transaction_ended: {
    when: 'A transaction was idle for too long and was rolled back.',
    fields: { database: 'the database', limit: 'the configured time, in milliseconds' },
  },
  idle_transaction_ended_for_waiters: {
    when: 'A transaction was idle for too long while requests waited for a connection of its server, and was rolled back.',
    fields: {
      service: 'the service',
      server: 'the server',
      customer: 'the customer whose connection it held; null for none',
      idleMilliseconds: 'since its last statement was answered',
      limit: 'the configured time, in milliseconds',
      waiting: 'requests that nothing else could give a connection',
    },
  },
  relay_lost: {
    when: 'Another host that runs statements for this one cannot be reached.',
    fields: { host: 'the host', why: 'connectRefused, connectTimeout or silent' },
  },
  relay_malformed: {
    when: 'A field of a message from another host is missing or of another type. A request was declined; after an answer the connection was closed.',
    fields: {
      host: 'the host that answered; null for a request',
      method: 'the request',
      detail: 'the field and its value; null where only the message is known',
    },
  },
  relay_failed: {
    when: 'A statement forwarded to another host got no answer.',
    fields: {
      request: 'id of the statement',
      service: 'the service',
      host: 'the host',
      outcome: 'notSent, lost or overdue',
    },
  },
  not_listening: {
    when: 'A configured port cannot be listened on. For callers or readiness the process exits with code 3.',
    fields: { what: 'callers, readiness or metrics', detail: 'the reason' },
  },
  relay_not_listening: {
    when: 'This host cannot listen on its relay port, so it runs no statements for others.',
    fields: { detail: 'the reason' },
  },
} as const satisfies Record<string, EventDescription>

export type EventName = keyof typeof EVENTS

/** docs/LOGS.md. */
export function describeEvents(): string {
  const lines = [
    '# Logs of an entry host',
    '',
    'Generated from packages/host/src/decisionEvents.ts by `node scripts/generateDocs.js`; do not edit.',
    '',
    'One JSON object a line on standard output. Each has `message` (the event), `entryHost`, `zone` and',
    '`timestamp` (the host’s time of day), and the fields below. An event writes at most 15 lines a second,',
    '`statement_refused` 100, `order_answered` 60;',
    '`lines_left_out` reports how many more there were. Output that a slow reader has not consumed is dropped beyond',
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
