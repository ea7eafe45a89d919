/**
 * The commands that wait for their answers on one connection to a backend server. Passes a reply on only if it cannot
 * be the answer to another command.
 */
import { err, ok, type Result } from 'neverthrow'
import type { Clock, LogPosition, Milliseconds } from '@nutmegcourse/shared'
import { AnswerHistory } from './answerHistory.js'
import type {
  BackendCommand,
  BackendReply,
  LinkFailure,
  OwnCommand,
  UnfitAnswer,
  UnfitReason,
} from './backendLink.js'
import type { SessionStatus } from './statements.js'

/**
 * The commands whose answers confirm a held reply, sent one after the other. Their answers are never like those to a
 * caller's statement or a report, and a busy server answers them as well. The prepared statement is never executed; its
 * name is new, since a rollback might have kept an earlier one.
 */
function confirmingCommands(status: SessionStatus, times: number): OwnCommand[] {
  const name = `confirm${String(times)}`
  const preparing: OwnCommand[] = [
    { kind: 'prepare', name, effect: 'read', shape: name },
    { kind: 'close', name },
  ]
  // The server answers nothing else in a failed transaction.
  return status === 'failed' ? [{ kind: 'rollback' }, ...preparing] : preparing
}

/** Whose answers differ from each other; a busy server may refuse the first. */
const CHANGE_OF_STATUS: readonly OwnCommand[] = [
  { kind: 'begin', readOnly: true, after: null },
  { kind: 'rollback' },
]

/** Whether the command succeeds without rows and outside a transaction, as the first confirming ones do. */
function isAnsweredAsConfirming({ kind }: BackendCommand): boolean {
  switch (kind) {
    case 'rollback':
    case 'set':
    case 'prepare':
    case 'close':
    case 'reset':
      return true
    case 'begin':
    case 'forward':
    case 'execute':
    case 'report':
    case 'pause':
    case 'resume':
    case 'stepDown':
      return false
  }
}

export type SettleReply = (reply: Result<BackendReply, LinkFailure>) => void

/** A command whose answer has not arrived. */
type PendingCommand =
  | {
      readonly kind: 'requested'
      readonly command: BackendCommand
      readonly settle: SettleReply
    }
  /** Sent to see that the answers that arrive are those that are due. */
  | { readonly kind: 'confirming'; readonly command: BackendCommand }

/** A reply that is passed on only if the answers that follow are those that are due. */
interface HeldReply {
  readonly reply: BackendReply
  readonly settle: SettleReply
}

let connectionCount = 0

export class CommandPipeline {
  readonly #clock: Clock
  readonly #send: (command: BackendCommand) => void
  readonly #history: AnswerHistory
  readonly #pending: PendingCommand[] = []
  #held: HeldReply[] = []
  /** The confirming commands that are still to be sent. */
  #confirming: OwnCommand[] = []
  #confirmations = 0
  /** The last command before the confirming ones is answered like them, and no answer since has opened a transaction. */
  #needsChangeOfStatus = false
  readonly #connection: number
  readonly #openedAt: Milliseconds
  #commandsSent = 0
  #answersReceived = 0
  #answersConfirmed = 0
  #previousCommand: BackendCommand['kind'] | null = null

  /** `send` writes a command to the connection. */
  constructor(clock: Clock, send: (command: BackendCommand) => void) {
    connectionCount += 1
    this.#connection = connectionCount
    this.#clock = clock
    this.#openedAt = clock.now()
    this.#send = send
    this.#history = new AnswerHistory(clock)
  }

  /** Whether a command waits for its answer. */
  get isWaiting(): boolean {
    return this.#pending.length > 0
  }

  /** The server has accepted the session; `position` is the end of its log. */
  begin(position: LogPosition | null): void {
    this.#history.noteStart(position)
  }

  run(command: BackendCommand): Promise<Result<BackendReply, LinkFailure>> {
    return new Promise(settle => {
      this.#enqueue({ kind: 'requested', command, settle })
    })
  }

  /** Takes the next answer; returns why it cannot be used, upon which the connection has to be closed. */
  receive(answer: BackendReply): UnfitReason | null {
    const [pending] = this.#pending
    if (pending === undefined) return 'noCommandWaiting'
    const verdict = this.#history.judge(pending.command, answer)
    if (verdict.kind === 'unfit') return verdict.reason
    if (pending.kind === 'confirming' && answer.outcome.kind === 'refused') return 'refused'
    this.#pending.shift()
    this.#answersReceived += 1
    this.#previousCommand = pending.command.kind
    if (answer.status === 'open') this.#needsChangeOfStatus = false
    switch (pending.kind) {
      case 'requested':
        this.#settleOrHold(pending.settle, answer, verdict.kind === 'certain')
        break
      case 'confirming':
        this.#continueConfirming()
        break
    }
    return null
  }

  /** Describes an answer that cannot be used, for the failure with which its connection is closed. */
  unfit(reason: UnfitReason, messages: string): UnfitAnswer {
    return {
      reason,
      command: this.#pending[0]?.command.kind ?? null,
      previousCommand: this.#previousCommand,
      connection: this.#connection,
      connectionAgeMilliseconds: Math.round(this.#clock.now() - this.#openedAt),
      commandsSent: this.#commandsSent,
      answersReceived: this.#answersReceived,
      answersConfirmed: this.#answersConfirmed,
      messages,
    }
  }

  /** Fails all commands without a reply, in the order in which they were sent. */
  fail(failure: LinkFailure): void {
    const settles = [
      ...this.#held.map(({ settle }) => settle),
      ...this.#pending.flatMap(pending => (pending.kind === 'requested' ? [pending.settle] : [])),
    ]
    this.#held = []
    this.#confirming = []
    this.#pending.length = 0
    for (const settle of settles) settle(err(failure))
  }

  #enqueue(pending: PendingCommand): void {
    this.#pending.push(pending)
    this.#commandsSent += 1
    this.#send(pending.command)
  }

  /** Once a reply is held, those that follow it are held too: they are shifted if it was a repeated one. */
  #settleOrHold(settle: SettleReply, reply: BackendReply, isCertain: boolean): void {
    if (isCertain && this.#held.length === 0) {
      settle(ok(reply))
      return
    }
    this.#held.push({ reply, settle })
    if (this.#held.length === 1) this.#beginConfirming()
  }

  /**
   * A repeated answer leaves the command's own answer outstanding, which then arrives in place of the answer to one of
   * these commands and does not fit.
   */
  #beginConfirming(): void {
    this.#confirmations += 1
    this.#confirming = confirmingCommands(this.#statusAfterPending(), this.#confirmations)
    const last = this.#pending.at(-1)
    this.#needsChangeOfStatus = last !== undefined && isAnsweredAsConfirming(last.command)
    this.#continueConfirming()
  }

  /**
   * The next command is sent after the answer to the one before: a server that sends small packets late would answer
   * the second of two only when its first answer is acknowledged.
   */
  #continueConfirming(): void {
    if (this.#confirming.length === 0 && this.#needsChangeOfStatus) {
      this.#needsChangeOfStatus = false
      this.#confirming.push(...CHANGE_OF_STATUS)
    }
    const next = this.#confirming.shift()
    if (next === undefined) this.#releaseHeld()
    else this.#enqueue({ kind: 'confirming', command: next })
  }

  #statusAfterPending(): SessionStatus {
    const endsTransaction = this.#pending.some(({ command }) => command.kind === 'rollback')
    return endsTransaction ? 'idle' : this.#history.status
  }

  #releaseHeld(): void {
    const held = this.#held
    this.#held = []
    this.#answersConfirmed += held.length
    const { status } = this.#history
    for (const { reply, settle } of held) {
      // A failed transaction has been rolled back meanwhile.
      settle(ok(reply.status === 'failed' ? { ...reply, status } : reply))
    }
  }
}
