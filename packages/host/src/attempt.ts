/**
 * One attempt to run one statement on one connection.
 *
 * @internal
 */
import { assertNever, type LogPosition, type Milliseconds } from '@nutmegcourse/shared'
import type {
  BackendCommand,
  BackendReply,
  CallerStatement,
  ForwardedCommand,
  LinkFailure,
  OwnCommand,
  SessionStatus,
} from '@nutmegcourse/protocol'
import type { StatementFailure, SessionValues } from '@nutmegcourse/state'
import type { Result } from 'neverthrow'
import type { HostContext } from './hostContext.js'
import type { PooledLink } from './pooledLink.js'
import { OVERDUE, withDeadline } from './waiting.js'

/** A statement that a backend server has to run. */
export type RemoteStatement = CallerStatement & {
  readonly body: { readonly kind: 'read' | 'write' | 'commit' | 'execute' }
}

export type AttemptOutcome =
  | {
      readonly kind: 'answered'
      readonly rows: readonly string[]
      readonly signature: string
      readonly status: SessionStatus
      readonly position: LogPosition | null
    }
  | {
      readonly kind: 'mishap'
      readonly mishap: StatementFailure
      /** The connection's session status afterwards; null when it must not be used again. */
      readonly status: SessionStatus | null
      /** The end of the server's log, if a refusal reported it. */
      readonly position: LogPosition | null
    }

export interface AttemptPlan {
  readonly session: SessionValues
  readonly statement: RemoteStatement
  readonly after: LogPosition | null
  readonly isInTransaction: boolean
  /**
   * Checks after the statement that the server is still the primary. A replaced primary that has not been informed
   * serves reads from its old log; it refuses to begin a read-write transaction right afterwards, and the read
   * is discarded.
   */
  readonly verifiesPrimary: boolean
  readonly deadline: Milliseconds
}

const CHECK_NAME = 'leadCheck'

/**
 * Only a primary accepts the BEGIN. The last two are never refused: if earlier answers came again in place of those to
 * BEGIN and ROLLBACK, the own answer to this BEGIN arrives in place of theirs and does not fit.
 */
export const PRIMARY_CHECK: readonly OwnCommand[] = [
  { kind: 'begin', readOnly: false, after: null },
  { kind: 'rollback' },
  { kind: 'prepare', name: CHECK_NAME, effect: 'read', shape: CHECK_NAME },
  { kind: 'close', name: CHECK_NAME },
]

const mishap = (
  cause: StatementFailure,
  status: SessionStatus | null,
  position: LogPosition | null = null,
): AttemptOutcome => ({ kind: 'mishap', mishap: cause, status, position })

/** Runs the statement after the commands that set the session's values. All commands are sent in one socket write. */
export async function attempt(
  context: HostContext,
  pooled: PooledLink,
  plan: AttemptPlan,
): Promise<AttemptOutcome> {
  const { link } = pooled
  if (!link.isOpen) return mishap({ kind: 'notSent' }, null)
  const prepared = commandsFor(pooled, plan)
  if (prepared === null) {
    return mishap(
      { kind: 'refused', refusal: 'unknownStatement' },
      plan.isInTransaction ? 'open' : 'idle',
    )
  }
  const ahead = prepared.own.map(command => link.run(command))
  const main = link.run(prepared.command)
  const primaryChecks = plan.verifiesPrimary ? PRIMARY_CHECK.map(command => link.run(command)) : []
  const all = Promise.all([Promise.all(ahead), main, Promise.all(primaryChecks)])
  const replies = await withDeadline(all, plan.deadline, context.clock)
  if (replies === OVERDUE) return mishap({ kind: 'overdue' }, null)
  const [ownReplies, reply, check] = replies
  if (!ownReplies.every(isHostCommandDone)) {
    const failed = [...ownReplies, reply].find(each => each.isErr())
    return mishap(failed?.isErr() === true ? failureOf(failed.error) : MALFORMED_ANSWER, null)
  }
  const outcome = readReply(reply)
  if (isUnknownStatement(outcome)) pooled.values.invalidate()
  if (outcome.kind === 'mishap' || !plan.verifiesPrimary) return outcome
  return checkStillPrimary(outcome, check)
}

/** Sets the session's values on a connection before a transaction begins there. Whether it succeeded. */
export async function applySessionValues(
  context: HostContext,
  pooled: PooledLink,
  session: SessionValues,
  deadline: Milliseconds,
): Promise<boolean> {
  const replies = pooled.values
    .commandsToAdopt(session, false)
    .map(command => pooled.link.run(command))
  const settled = await withDeadline(Promise.all(replies), deadline, context.clock)
  return settled !== OVERDUE && settled.every(isHostCommandDone)
}

interface PreparedCommand {
  /** The commands that the statement needs before it. */
  readonly own: readonly OwnCommand[]
  readonly command: ForwardedCommand
}

/** Null when the session has no such prepared statement. */
function commandsFor({ values }: PooledLink, plan: AttemptPlan): PreparedCommand | null {
  const { statement, after, session, isInTransaction } = plan
  const { id, text, body } = statement
  switch (body.kind) {
    case 'read':
    case 'write':
    case 'commit': {
      const own = values.commandsToAdopt(session, isInTransaction)
      return { own, command: { kind: 'forward', id, effect: body.kind, text, after } }
    }
    case 'execute': {
      const definition = session.prepared.get(body.name)
      if (definition === undefined) return null
      // The values come first: a reset also removes the prepared statements of the connection.
      const adopting = values.commandsToAdopt(session, isInTransaction)
      const { name, commands } = values.prepare(definition)
      const { argument } = body
      const { effect } = definition
      const own = [...adopting, ...commands]
      return { own, command: { kind: 'execute', id, effect, name, argument, after } }
    }
    default:
      return assertNever(body)
  }
}

const MALFORMED_ANSWER: StatementFailure = { kind: 'lost', failure: 'malformedAnswer' }

function failureOf(failure: LinkFailure): StatementFailure {
  switch (failure.kind) {
    case 'malformedAnswer':
      return { kind: 'lost', failure: failure.kind, unfit: failure.unfit }
    case 'unwritable':
      return { kind: 'unwritable' }
    case 'connectionRefused':
    case 'connectionLost':
    case 'rejected':
      return { kind: 'lost', failure: failure.kind }
    default:
      return assertNever(failure)
  }
}

/**
 * Whether one of the host's own commands succeeded. An answer with a signature belongs to a forwarded statement: the
 * command's own answer was lost.
 */
function isHostCommandDone(reply: Result<BackendReply, LinkFailure>): boolean {
  if (reply.isErr()) return false
  const { outcome } = reply.value
  return outcome.kind === 'done' && outcome.signature === null
}

function readReply(reply: Result<BackendReply, LinkFailure>): AttemptOutcome {
  if (reply.isErr()) return mishap(failureOf(reply.error), null)
  const { rows, outcome, status, position } = reply.value
  if (outcome.kind === 'refused') {
    return mishap({ kind: 'refused', refusal: outcome.refusal }, status, position)
  }
  const { signature } = outcome
  // An answer without a signature belongs to another command: the statement's own answer was lost.
  if (signature === null) return mishap(MALFORMED_ANSWER, null)
  return { kind: 'answered', rows, signature, status, position }
}

/** The server has forgotten what was prepared on the connection. */
const isUnknownStatement = (outcome: AttemptOutcome): boolean =>
  outcome.kind === 'mishap' &&
  outcome.mishap.kind === 'refused' &&
  outcome.mishap.refusal === 'unknownStatement'

function checkStillPrimary(
  outcome: AttemptOutcome,
  check: readonly Result<BackendReply, LinkFailure>[],
): AttemptOutcome {
  const [begun, ended, ...behind] = check
  if (begun === undefined || ended === undefined) return outcome
  if (begun.isErr() || ended.isErr()) {
    return mishap({ kind: 'lost', failure: 'connectionLost' }, null)
  }
  if (!behind.every(isHostCommandDone)) return mishap(MALFORMED_ANSWER, null)
  const isIdle = ended.value.status === 'idle'
  if (isHostCommandDone(begun)) return isIdle ? outcome : mishap(MALFORMED_ANSWER, null)
  return mishap({ kind: 'refused', refusal: 'notPrimary' }, isIdle ? 'idle' : null)
}

/** Runs one command; null when it was not answered by the deadline or its connection failed. */
export async function runCommand(
  context: HostContext,
  pooled: PooledLink,
  command: BackendCommand,
  deadline: Milliseconds,
): Promise<BackendReply | null> {
  const reply = await withDeadline(pooled.link.run(command), deadline, context.clock)
  if (reply === OVERDUE || reply.isErr()) return null
  return reply.value
}
