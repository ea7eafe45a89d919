/** Servers that send some answers again, or only in part. */
import type { RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'
import type { AnswerCut, AnswerKind } from '@nutmegcourse/platform/standIns'

export type StutterFault =
  /** Answers come again up to `latestMilliseconds` later, once or twice. */
  | {
      readonly kind: 'serverStutters' | 'serverStuttersTwice'
      readonly server: string
      readonly answers: AnswerKind
      readonly latestMilliseconds: number
    }
  /** Answers are cut off; then the connection is closed, or carries nothing more. */
  | {
      readonly kind: 'answersCutOff'
      readonly server: string
      readonly answers: AnswerKind
      readonly closes: boolean
    }

export const STUTTER_KINDS: readonly StutterFault['kind'][] = [
  'serverStutters',
  'serverStuttersTwice',
  'answersCutOff',
]

const ANSWER_KINDS: readonly AnswerKind[] = ['signed', 'refused', 'unsigned']
const LATEST_MILLISECONDS = [40, 1500]
/** The share of the answers of each kind that come again. */
const REPEATED_SHARES = { signed: 0.1, refused: 0.5, unsigned: 0.1 } as const
/** The share of the statements that a server refuses while faults of its refusals are active. */
const BUSY_SHARE = 0.2
/** The share of the answers that are cut off; each ends a connection. */
const CUT_SHARE = 0.1

export function drawStutter(
  kind: StutterFault['kind'],
  servers: readonly string[],
  random: RandomSource,
): StutterFault {
  const server = pick(servers, random)
  const answers = pick(ANSWER_KINDS, random)
  switch (kind) {
    case 'serverStutters':
    case 'serverStuttersTwice':
      return { kind, server, answers, latestMilliseconds: pick(LATEST_MILLISECONDS, random) }
    case 'answersCutOff':
      return { kind, server, answers, closes: random.next() < 0.5 }
  }
}

export class Stutters {
  readonly repeated: Record<AnswerKind, number> = { signed: 0, refused: 0, unsigned: 0 }
  readonly cutOff: Record<AnswerKind, number> = { signed: 0, refused: 0, unsigned: 0 }
  readonly #random: RandomSource
  readonly #active = new Map<string, StutterFault>()

  constructor(random: RandomSource) {
    this.#random = random
  }

  begin(fault: StutterFault): void {
    this.#active.set(keyOf(fault.kind, fault.server, fault.answers), fault)
  }

  end(fault: StutterFault): void {
    this.#active.delete(keyOf(fault.kind, fault.server, fault.answers))
  }

  /** See `BackendHooks`. */
  repeatsAfter(server: string, answers: AnswerKind): readonly number[] {
    return STUTTER_KINDS.flatMap(kind => {
      const fault = this.#active.get(keyOf(kind, server, answers))
      if (fault === undefined || fault.kind === 'answersCutOff') return []
      if (this.#random.next() >= REPEATED_SHARES[answers]) return []
      const drawDelay = (): number => fault.latestMilliseconds * this.#random.next()
      return fault.kind === 'serverStutters' ? [drawDelay()] : [drawDelay(), drawDelay()]
    })
  }

  /** See `BackendHooks`. */
  cutsOff(server: string, answers: AnswerKind, length: number): AnswerCut | null {
    const fault = this.#active.get(keyOf('answersCutOff', server, answers))
    if (fault?.kind !== 'answersCutOff' || this.#random.next() >= CUT_SHARE) return null
    this.cutOff[answers] += 1
    const sentCharacters = 1 + Math.floor((length - 1) * this.#random.next())
    return { sentCharacters, closes: fault.closes }
  }

  isBusy(server: string): boolean {
    const isActive = STUTTER_KINDS.some(kind => this.#active.has(keyOf(kind, server, 'refused')))
    return isActive && this.#random.next() < BUSY_SHARE
  }
}

const keyOf = (kind: StutterFault['kind'], server: string, answers: AnswerKind): string =>
  `${kind} ${answers} ${server}`
