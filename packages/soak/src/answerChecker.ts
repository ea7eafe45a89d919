/**
 * Compares each statement that reaches a server with what a caller sent, and each answer that reaches a caller with
 * what a server answered to that statement.
 */
import type { ReceivedStatement, SignedAnswer, WireAnswer } from '@nutmegcourse/platform/standIns'

/**
 * `mixed`: an answer of another statement, or one that is not whole. `unasked`: a statement that no caller sent, or sent
 * with another text. `unsolicited`: a message to a caller that waits for none. `otherSession`: a statement under
 * values or with a prepared shape that its session does not have.
 */
export type AnswerFindingKind = 'mixed' | 'unasked' | 'unsolicited' | 'otherSession'

export type SentStatement = Omit<ReceivedStatement, 'server'>

export type DoneAnswer = Extract<WireAnswer, { kind: 'done' }>

/** The longest part of a text in a finding. */
const LONGEST_QUOTE = 120

export class AnswerChecker {
  readonly findings: string[] = []
  readonly counts = { sent: 0, received: 0, signed: 0, compared: 0 }
  readonly findingCounts: Record<AnswerFindingKind, number> = {
    mixed: 0,
    unasked: 0,
    unsolicited: 0,
    otherSession: 0,
  }
  readonly #sent = new Map<string, SentStatement>()
  readonly #signed = new Map<string, SignedAnswer>()
  /** The statement whose caller received each run's answer. */
  readonly #answered = new Map<string, string>()
  readonly #endedAt = new Map<string, number>()

  recordSent(statement: SentStatement): void {
    this.counts.sent += 1
    this.#sent.set(statement.id, statement)
  }

  /** Its caller waits no longer, with whatever answer. */
  recordEnded(id: string): void {
    this.#endedAt.set(id, performance.now())
  }

  /** Checks what has reached a server. */
  checkReceived({ server, id, text, values }: ReceivedStatement): void {
    this.counts.received += 1
    const sent = this.#sent.get(id)
    if (sent === undefined) {
      this.#report('unasked', `${server} received ${id} ${quote(text)}, which no caller sent`)
      return
    }
    if (text !== sent.text) {
      const [expected, found] = [sent.text, text].map(shapeOf)
      const isOtherShape = found !== null && expected !== null && found !== expected
      this.#report(
        isOtherShape ? 'otherSession' : 'unasked',
        `${server} received ${id} as ${quote(text)}, sent as ${quote(sent.text)}${this.#delayOf(id)}`,
      )
    }
    if (values !== sent.values) {
      const under = `${quote(values)}, its session has ${quote(sent.values)}${this.#delayOf(id)}`
      this.#report('otherSession', `${server} ran ${id} under the values ${under}`)
    }
  }

  recordSigned(answer: SignedAnswer): void {
    this.counts.signed += 1
    this.#signed.set(answer.run, answer)
  }

  /** Checks the answer that the caller of a statement received. */
  checkAnswer(id: string, { signature, run, rows }: DoneAnswer): void {
    this.counts.compared += 1
    const signed = run === undefined ? undefined : this.#signed.get(run)
    if (run === undefined || signed === undefined) {
      this.#report('mixed', `${id} was answered with ${quote(signature)}, which no server sent`)
      return
    }
    if (signed.id !== id)
      this.#report('mixed', `${id} was answered with the answer of ${signed.id}, run ${run}`)
    else if (!areSame(rows, signed.rows)) {
      const [found, expected] = [rows, signed.rows].map(each => quote(each.join('|')))
      this.#report(
        'mixed',
        `${id} was answered with the rows ${String(found)} of ${String(expected)}`,
      )
    }
    const other = this.#answered.get(run)
    if (other !== undefined)
      this.#report('mixed', `${id} was answered with run ${run}, as was ${other} before`)
    this.#answered.set(run, id)
  }

  /** Checks the answer to a statement that no server signs. */
  checkOwnAnswer(caller: string, { signature, rows }: DoneAnswer): void {
    if (signature === '-' && rows.length === 0) return
    this.#report(
      'mixed',
      `${caller} received ${quote(signature)} for a statement without signature`,
    )
  }

  /** Checks messages that a caller received without waiting; errors announce the end of the session. */
  checkUnsolicited(caller: string, text: string): void {
    const messages = text.split('\r\n').filter(message => message !== '')
    if (messages.every(message => message.startsWith('ERROR '))) return
    this.#report('unsolicited', `${caller} received ${quote(text)}, which answers nothing it sent`)
  }

  /** Reads may still reach a server after their answer. */
  #delayOf(id: string): string {
    const endedAt = this.#endedAt.get(id)
    return endedAt === undefined
      ? ''
      : `, ${(performance.now() - endedAt).toFixed(0)} ms after its answer`
  }

  #report(kind: AnswerFindingKind, finding: string): void {
    this.findingCounts[kind] += 1
    this.findings.push(`${kind}: ${finding}`)
  }
}

const areSame = (left: readonly string[], right: readonly string[]): boolean =>
  left.length === right.length && left.every((row, index) => row === right[index])

const shapeOf = (text: string): string | null => /^EXECUTE (\S+) /.exec(text)?.[1] ?? null

const quote = (text: string): string => JSON.stringify(text.slice(0, LONGEST_QUOTE))
