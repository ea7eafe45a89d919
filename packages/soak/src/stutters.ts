/** Servers that send some answers a second time. */
import type { RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'
import type { AnswerKind } from '@nutmegcourse/platform/standIns'

export interface StutterFault {
  readonly kind: 'serverStutters'
  readonly server: string
  readonly answers: AnswerKind
  readonly latestMilliseconds: number
}

const ANSWER_KINDS: readonly AnswerKind[] = ['signed', 'refused', 'unsigned']
const LATEST_MILLISECONDS = [40, 1500]
/** The share of the answers of each kind that come again. */
const REPEATED_SHARES = { signed: 0.1, refused: 0.5, unsigned: 0.1 } as const
/** The share of the statements that a server refuses while its refusals come again. */
const BUSY_SHARE = 0.2

export function drawStutter(servers: readonly string[], random: RandomSource): StutterFault {
  return {
    kind: 'serverStutters',
    server: pick(servers, random),
    answers: pick(ANSWER_KINDS, random),
    latestMilliseconds: pick(LATEST_MILLISECONDS, random),
  }
}

export class Stutters {
  readonly repeated: Record<AnswerKind, number> = { signed: 0, refused: 0, unsigned: 0 }
  readonly #random: RandomSource
  readonly #active = new Map<string, StutterFault>()

  constructor(random: RandomSource) {
    this.#random = random
  }

  begin(fault: StutterFault): void {
    this.#active.set(keyOf(fault.server, fault.answers), fault)
  }

  end(fault: StutterFault): void {
    this.#active.delete(keyOf(fault.server, fault.answers))
  }

  /** See `BackendHooks`. */
  repeatsAfter(server: string, kind: AnswerKind): number | null {
    const fault = this.#active.get(keyOf(server, kind))
    if (fault === undefined || this.#random.next() >= REPEATED_SHARES[kind]) return null
    return fault.latestMilliseconds * this.#random.next()
  }

  isBusy(server: string): boolean {
    return this.#active.has(keyOf(server, 'refused')) && this.#random.next() < BUSY_SHARE
  }
}

const keyOf = (server: string, kind: AnswerKind): string => `${kind} ${server}`
