import { describe, it } from 'node:test'
import { expect } from 'earl'
import { err, ok, type Result } from 'neverthrow'
import {
  SystemClock,
  addMilliseconds,
  backendServerId,
  logPosition,
  type BackendServerId,
  type LogPosition,
} from '@nutmegcourse/shared'
import {
  statementId,
  type BackendCommand,
  type BackendOutcome,
  type BackendReply,
  type LinkFailure,
  type SessionStatus,
  type UnfitAnswer,
} from '@nutmegcourse/protocol'
import { ConnectionValues, SessionValues } from '@nutmegcourse/state'
import type { HostContext } from '../src/hostContext.js'
import type { ServerAccess } from '../src/serverAccess.js'
import { StatementTiming, type StatementRequest } from '../src/statements.js'
import { TransactionRunner } from '../src/transactionRunner.js'

type Reply = Result<BackendReply, LinkFailure>
type Kind = 'read' | 'write' | 'commit'

const CLOCK = new SystemClock()
const P = backendServerId('i-p')
const BEGUN_AT = logPosition(3, 7)

const UNFIT: UnfitAnswer = {
  reason: 'unsigned',
  command: 'forward',
  previousCommand: 'begin',
  connection: 1,
  connectionAgeMilliseconds: 1,
  commandsSent: 2,
  answersReceived: 1,
  answersConfirmed: 0,
  messages: '',
}

const replied = (outcome: BackendOutcome, status: SessionStatus): Reply =>
  ok({ rows: [], outcome, status, position: BEGUN_AT })
const begun = replied({ kind: 'done', signature: null }, 'open')
const rolledBack = replied({ kind: 'done', signature: null }, 'idle')
const refusedAs = (refusal: 'notPrimary' | 'busy', status: SessionStatus): Reply =>
  replied({ kind: 'refused', refusal, detail: refusal }, status)
const answeredIn = (status: SessionStatus): Reply =>
  replied({ kind: 'done', signature: '7.s1' }, status)
const unfit: Reply = err({ kind: 'malformedAnswer', unfit: UNFIT })
const cut: Reply = err({ kind: 'connectionLost' })

interface Begun {
  readonly outcome: string
  /** The kinds of all commands, in order. */
  readonly sent: readonly string[]
  readonly primaries: readonly (readonly [BackendServerId, LogPosition | null])[]
}

/** Begins a transaction at a server that answers BEGIN and what follows, except ROLLBACK, as `replies` says. */
async function begin(kind: Kind, replies: readonly Reply[]): Promise<Begun> {
  const script = [...replies]
  const sent: string[] = []
  const primaries: (readonly [BackendServerId, LogPosition | null])[] = []
  const pool = { release: () => undefined, discard: () => undefined }
  const server = {
    entry: { server: P },
    pool,
    gate: null,
    mayWrite: () => true,
    progress: { noteReadSent: () => undefined },
  }
  const service = {
    primary: server,
    outliers: {
      track: (_server: unknown, _work: unknown, run: () => unknown) => run(),
      trackBegin: (_server: unknown, _work: unknown, run: () => unknown) => run(),
    },
    recordPrimary: (id: BackendServerId, _askedAt: number, position: LogPosition | null) =>
      primaries.push([id, position]),
  }
  const link = {
    isOpen: true,
    run: (command: BackendCommand): Promise<Reply> => {
      sent.push(command.kind)
      return Promise.resolve(command.kind === 'rollback' ? rolledBack : (script.shift() ?? cut))
    },
  }
  const access = {
    isExpired: () => sent.length > 20,
    awaitPrimary: () => Promise.resolve(server),
    acquire: () =>
      Promise.resolve({
        kind: 'connected',
        link: { link, values: new ConnectionValues() },
        slot: { end: () => undefined },
      }),
    latestStart: () => addMilliseconds(CLOCK.now(), 1000),
    recordFailure: () => undefined,
    recordLogProgress: () => undefined,
    exclude: () => Promise.resolve(),
  }
  const request = {
    service,
    route: { name: 'r', guarantee: { kind: 'latest' } },
    session: { values: new SessionValues(), ownPosition: null },
    statement: { id: statementId('s1'), text: kind, body: { kind } },
    isWrite: kind === 'write',
    deadline: addMilliseconds(CLOCK.now(), 1000),
    timing: new StatementTiming(),
  }
  const context = { clock: CLOCK, log: { write: () => undefined } }
  const runner = new TransactionRunner(
    context as unknown as HostContext,
    access as unknown as ServerAccess,
  )
  const { result } = await runner.begin(request as unknown as StatementRequest, false)
  const { answer } = result
  return { outcome: answer.kind === 'refused' ? answer.refusal : answer.kind, sent, primaries }
}

// Guards against a write that is run twice: the answer to BEGIN was an earlier one, BEGIN itself was refused, and the
// write ran outside the transaction, so that closing the connection does not undo it.
describe('the first statement of a transaction', () => {
  const whole = [begun, answeredIn('open')]
  const cases: readonly (readonly [string, Kind, Reply, string, number])[] = [
    ['has an unknown outcome', 'write', unfit, 'outcomeUnknown', 1],
    ['is sent again', 'read', unfit, 'rows', 2],
    ['is sent again', 'write', cut, 'rows', 2],
    ['is sent again', 'write', refusedAs('busy', 'open'), 'rows', 2],
  ]
  for (const [what, kind, reply, outcome, times] of cases) {
    const why = reply.isOk() ? 'was refused' : `ended as ${reply.error.kind}`
    it(`${what} if it is a ${kind} and ${why}`, async () => {
      const { outcome: found, sent } = await begin(kind, [begun, reply, ...whole])
      const statements = sent.filter(each => each === 'forward').length
      expect([found, statements]).toEqual([outcome, times])
    })
  }
})

// Guards against a server that counts as the primary by an earlier answer to BEGIN, while its own is a refusal.
describe('the server at which a transaction begins', () => {
  const cases: readonly (readonly [string, Kind, Reply, boolean])[] = [
    ['a write is answered', 'write', answeredIn('open'), true],
    ['a read is answered', 'read', answeredIn('open'), true],
    ['a commit is answered', 'commit', answeredIn('idle'), true],
    ['the answer to a write is unfit', 'write', unfit, false],
    ['a commit is refused', 'commit', refusedAs('notPrimary', 'failed'), false],
  ]
  for (const [what, kind, reply, isRecorded] of cases) {
    it(`${isRecorded ? 'counts' : 'does not count'} as the primary once ${what}`, async () => {
      const { primaries } = await begin(kind, [begun, reply])
      expect(primaries).toEqual(isRecorded ? [[P, BEGUN_AT]] : [])
    })
  }
})
