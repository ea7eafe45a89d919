/**
 * Decides whether an answer can be that of the command that waits for it. Answers carry no id, and a backend server may
 * send one twice, the second time late; taken for the next command's answer, it would shift all that follow.
 *
 * @internal
 */
import {
  addMilliseconds,
  comparePositions,
  type Clock,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { BackendCommand, BackendReply, UnfitReason } from './backendLink.js'
import { KEPT_MILLISECONDS, RecentTexts, SeenTexts } from './seenTexts.js'
import type { SessionStatus } from './statements.js'

export type Verdict =
  | { readonly kind: 'unfit'; readonly reason: UnfitReason }
  /** It belongs to no other command. */
  | { readonly kind: 'certain' }
  /** It may be an earlier answer of the connection once more, or that of an earlier command. */
  | { readonly kind: 'possiblyRepeated' }

const CERTAIN: Verdict = { kind: 'certain' }
const POSSIBLY_REPEATED: Verdict = { kind: 'possiblyRepeated' }
const unfit = (reason: UnfitReason): Verdict => ({ kind: 'unfit', reason })

/** What one connection has brought so far. */
export class AnswerHistory {
  readonly #clock: Clock
  /** The end of the log with which the server accepted the session; null once its repetition is not expected. */
  #start: { readonly position: LogPosition; readonly until: Milliseconds } | null = null
  readonly #signatures: RecentTexts
  readonly #refusals = new SeenTexts()
  readonly #reports = new SeenTexts()
  /** The transaction statuses with which commands of the host have succeeded. */
  readonly #succeeded = new Set<SessionStatus>()
  #status: SessionStatus = 'idle'
  /**
   * Since the last signature, an answer to a command of the host may have been an earlier one once more. The next
   * refusal may then be that of the command before.
   */
  #mayBeShifted = false

  constructor(clock: Clock) {
    this.#clock = clock
    this.#signatures = new RecentTexts(clock)
  }

  /** The transaction status after the last answer. */
  get status(): SessionStatus {
    return this.#status
  }

  /** Records the end of the log with which the server has accepted the session. */
  noteStart(position: LogPosition | null): void {
    if (position === null) return
    this.#start = { position, until: addMilliseconds(this.#clock.now(), KEPT_MILLISECONDS) }
  }

  /** Judges the next answer, and records it unless it is unfit. */
  judge(command: BackendCommand, answer: BackendReply): Verdict {
    const reason =
      signatureFault(command, answer) ??
      rowsFault(command, answer) ??
      this.#statusFault(command, answer)
    if (reason !== null) return unfit(reason)
    const verdict = this.#identify(command, answer)
    if (verdict.kind !== 'unfit') this.#status = answer.status
    return verdict
  }

  #identify(command: BackendCommand, answer: BackendReply): Verdict {
    const { rows, outcome, status } = answer
    if (outcome.kind === 'refused') {
      const isNew = this.#refusals.add(outcome.detail)
      const failsOutside = this.#status === 'idle' && status === 'failed'
      return isNew && !this.#mayBeShifted && !failsOutside ? CERTAIN : POSSIBLY_REPEATED
    }
    if (outcome.signature !== null) {
      this.#mayBeShifted = false
      if (!this.#signatures.add(outcome.signature)) return unfit('repeatedSignature')
      return this.#mayEndAsStart(answer) ? POSSIBLY_REPEATED : CERTAIN
    }
    if (isReported(command)) {
      return this.#reports.add(rows.join('\n')) ? CERTAIN : POSSIBLY_REPEATED
    }
    if (this.#succeeded.has(status)) this.#mayBeShifted = true
    this.#succeeded.add(status)
    // If it was a repeated one, the next answer that is passed on does not fit.
    return CERTAIN
  }

  /** The state behind the answer may be that of the session's start once more; the answer's own is then outstanding. */
  #mayEndAsStart({ status, position }: BackendReply): boolean {
    const start = this.#start
    if (start === null || status !== 'idle' || position === null) return false
    if (this.#clock.now() < start.until) return comparePositions(position, start.position) === 0
    this.#start = null
    return false
  }

  #statusFault(command: BackendCommand, { outcome, status }: BackendReply): UnfitReason | null {
    const before = this.#status
    if (outcome.kind === 'done') {
      return status === statusAfter(command, before) ? null : 'status'
    }
    if (isNeverRefused(command, before)) return 'refused'
    // A refusal may end a transaction or make it fail, but never begins one.
    return before !== 'open' && status === 'open' ? 'status' : null
  }
}

/** Whether the command is answered with a row that describes the server. */
function isReported({ kind }: BackendCommand): boolean {
  return kind === 'report' || kind === 'pause' || kind === 'resume' || kind === 'stepDown'
}

/** Whether the command succeeds on any usable connection; the commands behind it rely on that. */
function isNeverRefused({ kind }: BackendCommand, before: SessionStatus): boolean {
  if (kind === 'rollback') return before !== 'idle'
  return kind === 'set' || kind === 'prepare' || kind === 'close' || kind === 'reset'
}

function signatureFault(command: BackendCommand, { outcome }: BackendReply): UnfitReason | null {
  if (outcome.kind === 'refused') return null
  const isForwarded = command.kind === 'forward' || command.kind === 'execute'
  if (isForwarded) return outcome.signature === null ? 'unsigned' : null
  return outcome.signature === null ? null : 'signed'
}

function rowsFault(command: BackendCommand, { rows, outcome }: BackendReply): UnfitReason | null {
  const isForwarded = command.kind === 'forward' || command.kind === 'execute'
  if (isForwarded && command.effect === 'read') return null
  if (outcome.kind === 'done' && isReported(command)) return rows.length === 1 ? null : 'rows'
  return rows.length === 0 ? null : 'rows'
}

/** The transaction status after the command has succeeded; null if it cannot succeed. */
function statusAfter(command: BackendCommand, before: SessionStatus): SessionStatus | null {
  switch (command.kind) {
    case 'begin':
      return before === 'idle' ? 'open' : null
    case 'rollback':
      return 'idle'
    case 'forward':
    case 'execute':
      if (before === 'failed') return null
      return command.effect === 'commit' ? 'idle' : before
    case 'set':
    case 'prepare':
    case 'close':
    case 'reset':
    case 'report':
    case 'pause':
    case 'resume':
    case 'stepDown':
      return before
  }
}
