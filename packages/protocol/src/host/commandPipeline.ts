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
 * The answers to these are never like those to a caller's statement or a report. The prepared statement is never
 * executed; its name is new, since a rollback might have kept an earlier one.
 */
const confirmingCommands = (number: number): readonly OwnCommand[] => {
  const name = `confirm${String(number)}`
  return [
    { kind: 'prepare', name, effect: 'read', shape: name },
    { kind: 'close', name },
  ]
}

/** In a failed transaction the server answers nothing else. */
const CONFIRMING_COMMANDS_OF_FAILED_TRANSACTION: readonly OwnCommand[] = [{ kind: 'rollback' }]

export type SettleReply = (reply: Result<BackendReply, LinkFailure>) => void

/** A command whose answer has not arrived. */
type PendingCommand =
  | {
      readonly kind: 'requested'
      readonly command: BackendCommand
      readonly settle: SettleReply
    }
  /** Sent to see that the answers that arrive are those that are due; `isLast`: of several. */
  | { readonly kind: 'confirming'; readonly command: BackendCommand; readonly isLast: boolean }
  /** Ends no transaction; its answer keeps an earlier answer to BEGIN from being taken for that of the next one. */
  | { readonly kind: 'separating'; readonly command: BackendCommand }

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
  #isConfirming = false
  #confirmations = 0
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

  /** Records the end of the server's log when it accepted the session. */
  start(position: LogPosition | null): void {
    this.#history.start(position)
  }

  run(command: BackendCommand): Promise<Result<BackendReply, LinkFailure>> {
    return new Promise(settle => {
      if (command.kind === 'begin' && !this.isWaiting && this.#history.hasBegun) {
        this.#enqueue({ kind: 'separating', command: { kind: 'rollback' } })
      }
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
    switch (pending.kind) {
      case 'requested':
        this.#settleOrHold(pending.settle, answer, verdict.kind === 'certain')
        break
      case 'confirming':
        if (pending.isLast) this.#releaseHeld()
        break
      case 'separating':
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
    if (!this.#isConfirming) this.#confirm()
  }

  /**
   * A repeated answer leaves the command's own answer outstanding, which would then arrive in place of the answers to
   * these commands and be of another kind.
   */
  #confirm(): void {
    this.#isConfirming = true
    this.#confirmations += 1
    const commands =
      this.#statusAfterPending() === 'failed'
        ? CONFIRMING_COMMANDS_OF_FAILED_TRANSACTION
        : confirmingCommands(this.#confirmations)
    for (const [place, command] of commands.entries()) {
      this.#enqueue({ kind: 'confirming', command, isLast: place === commands.length - 1 })
    }
  }

  #statusAfterPending(): SessionStatus {
    const endsTransaction = this.#pending.some(({ command }) => command.kind === 'rollback')
    return endsTransaction ? 'idle' : this.#history.status
  }

  #releaseHeld(): void {
    this.#isConfirming = false
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
