/**
 * One try of one statement on one connection.
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
import type { Mishap, SessionValues } from '@nutmegcourse/state'
import type { Result } from 'neverthrow'
import type { HostContext } from './hostContext.js'
import type { PooledLink } from './pooledLink.js'
import { OVERDUE, within } from './waiting.js'

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
      readonly mishap: Mishap
      /** What the connection is worth afterwards; null when it can not be used again. */
      readonly status: SessionStatus | null
      /** Where the server's log ends, if it said so with a refusal. */
      readonly position: LogPosition | null
    }

export interface AttemptPlan {
  readonly session: SessionValues
  readonly statement: RemoteStatement
  readonly after: LogPosition | null
  readonly isInTransaction: boolean
  /**
   * Asks behind the statement whether the server still leads. A server that was replaced and does
   * not know it serves a read from its old log; that it refuses to begin a writing transaction right
   * after shows it, and the read is not used.
   */
  readonly confirmsLead: boolean
  readonly deadline: Milliseconds
}

const mishap = (
  what: Mishap,
  status: SessionStatus | null,
  position: LogPosition | null = null,
): AttemptOutcome => ({ kind: 'mishap', mishap: what, status, position })

/** Runs the statement with the session's values in force. All of it leaves in one packet. */
export async function attempt(
  context: HostContext,
  pooled: PooledLink,
  plan: AttemptPlan,
): Promise<AttemptOutcome> {
  const { link, values } = pooled
  const prepared = commandFor(pooled, plan)
  if (prepared === null) {
    return mishap(
      { kind: 'refused', refusal: 'unknownStatement' },
      plan.isInTransaction ? 'open' : 'idle',
    )
  }
  const own = [...values.adopt(plan.session, plan.isInTransaction), ...prepared.own]
  const ahead = own.map(command => link.run(command))
  const main = link.run(prepared.command)
  const behind = plan.confirmsLead
    ? [link.run({ kind: 'begin', readOnly: false, after: null }), link.run({ kind: 'rollback' })]
    : []
  const all = Promise.all([Promise.all(ahead), main, Promise.all(behind)])
  const replies = await within(all, plan.deadline, context.clock)
  if (replies === OVERDUE) return mishap({ kind: 'overdue' }, null)
  const [settings, reply, lead] = replies
  if (!settings.every(isOwnDone)) {
    const failure = reply.isErr() ? reply.error.kind : 'malformedAnswer'
    return mishap({ kind: 'lost', failure }, null)
  }
  const outcome = readReply(reply)
  if (outcome.kind === 'mishap' || !plan.confirmsLead) return outcome
  return checkLead(outcome, lead)
}

/** The commands that give a connection its session's values, before a transaction begins there. */
export async function adoptValues(
  context: HostContext,
  pooled: PooledLink,
  session: SessionValues,
  deadline: Milliseconds,
): Promise<boolean> {
  const replies = pooled.values.adopt(session, false).map(command => pooled.link.run(command))
  const settled = await within(Promise.all(replies), deadline, context.clock)
  return settled !== OVERDUE && settled.every(isOwnDone)
}

interface PreparedCommand {
  readonly own: readonly OwnCommand[]
  readonly command: ForwardedCommand
}

/** Null when the session has no such prepared statement. */
function commandFor(pooled: PooledLink, plan: AttemptPlan): PreparedCommand | null {
  const { statement, after, session } = plan
  const { id, text, body } = statement
  switch (body.kind) {
    case 'read':
    case 'write':
    case 'commit':
      return { own: [], command: { kind: 'forward', id, text, after } }
    case 'execute': {
      const definition = session.prepared.get(body.name)
      if (definition === undefined) return null
      const { name, commands } = pooled.values.prepare(definition)
      const { argument } = body
      return { own: commands, command: { kind: 'execute', id, name, argument, after } }
    }
    default:
      return assertNever(body)
  }
}

/** An answer of its own that carries a signature belongs to another statement: one was lost. */
function isOwnDone(reply: Result<BackendReply, LinkFailure>): boolean {
  if (reply.isErr()) return false
  const { outcome } = reply.value
  return outcome.kind === 'done' && outcome.signature === null
}

function readReply(reply: Result<BackendReply, LinkFailure>): AttemptOutcome {
  if (reply.isErr()) return mishap({ kind: 'lost', failure: reply.error.kind }, null)
  const { rows, outcome, status, position } = reply.value
  if (outcome.kind === 'refused') {
    return mishap({ kind: 'refused', refusal: outcome.refusal }, status, position)
  }
  const { signature } = outcome
  // Without a signature this is the answer to something else: the statement's own was lost.
  if (signature === null) return mishap({ kind: 'lost', failure: 'malformedAnswer' }, null)
  return { kind: 'answered', rows, signature, status, position }
}

function checkLead(
  outcome: AttemptOutcome,
  lead: readonly Result<BackendReply, LinkFailure>[],
): AttemptOutcome {
  const [begun, ended] = lead
  if (begun === undefined || ended === undefined) return outcome
  if (begun.isErr() || ended.isErr()) {
    return mishap({ kind: 'lost', failure: 'connectionLost' }, null)
  }
  const isIdle = ended.value.status === 'idle'
  if (isOwnDone(begun))
    return isIdle ? outcome : mishap({ kind: 'lost', failure: 'malformedAnswer' }, null)
  return mishap({ kind: 'refused', refusal: 'notPrimary' }, isIdle ? 'idle' : null)
}

/** Whether a command only a primary runs succeeded, and what it answered. */
export async function runOwn(
  context: HostContext,
  pooled: PooledLink,
  command: BackendCommand,
  deadline: Milliseconds,
): Promise<BackendReply | null> {
  const reply = await within(pooled.link.run(command), deadline, context.clock)
  if (reply === OVERDUE || reply.isErr()) return null
  return reply.value
}
