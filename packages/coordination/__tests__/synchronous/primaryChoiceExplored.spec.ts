import { describe, it } from 'node:test'
import { expect } from 'earl'
import { backendServerId, logPosition, term, type BackendServerId } from '@nutmegcourse/shared'
import type { ServerReport } from '@nutmegcourse/protocol'
import { PrimaryChoice, type GroupOrders } from '../../src/index.js'
import { explore, type Choices } from './choiceExplorer.js'
import { member } from './groupMember.js'

// Guards against the loss of an acknowledged write because the promoted server never received it. The
// fault depends on a rare order of writes, receipts, a crash and lost commands that hand-written scenarios
// may not cover, so the shipped choice runs under every order of them, within the bounds below.

const P = backendServerId('p')
const A = backendServerId('a')
const B = backendServerId('b')
const NEXT = term(2)

/** Bounds for one run. */
const EVENT_LIMIT = 2
const LOST_COMMAND_LIMIT = 1

type Variant = 'shipped' | 'pauseIsIgnored' | 'stepDownIsIgnored' | 'firstAnswerWins'

interface Start {
  readonly name: string
  readonly at: Readonly<Record<'p' | 'a' | 'b', number>>
  readonly isDead: boolean
}

const STARTS: readonly Start[] = [
  { name: 'all logs equal', at: { p: 1, a: 1, b: 1 }, isDead: false },
  { name: 'replica a behind', at: { p: 2, a: 1, b: 2 }, isDead: false },
  { name: 'replica b behind', at: { p: 2, a: 2, b: 1 }, isDead: false },
  { name: 'all logs equal and the primary dead', at: { p: 1, a: 1, b: 1 }, isDead: true },
  { name: 'replica a behind and the primary dead', at: { p: 2, a: 1, b: 2 }, isDead: true },
]

/** Events that may occur between two commands; the first is none. */
const EVENTS = ['nothing', 'writeToA', 'writeToB', 'receiveA', 'receiveB', 'crash'] as const

class ExploredGroup implements GroupOrders {
  readonly #choices: Choices
  readonly #variant: Variant
  readonly #received: Map<BackendServerId, number>
  readonly #paused = new Set<BackendServerId>()
  #isDead: boolean
  #hasSteppedDown = false
  #events = 0
  #lostCommands = 0
  /** The newest write that may have been acknowledged to a caller. */
  acknowledged = 0

  constructor(choices: Choices, variant: Variant, start: Start) {
    this.#choices = choices
    this.#variant = variant
    this.#isDead = start.isDead
    this.#received = new Map([
      [P, start.at.p],
      [A, start.at.a],
      [B, start.at.b],
    ])
    this.#acknowledge()
  }

  at(server: BackendServerId): number {
    return this.#received.get(server) ?? 0
  }

  report(server: BackendServerId): Promise<ServerReport | null> {
    return this.#command(server, () => undefined)
  }

  pause(server: BackendServerId): Promise<ServerReport | null> {
    return this.#command(server, () => this.#paused.add(server))
  }

  stepDown(server: BackendServerId): Promise<ServerReport | null> {
    return this.#command(server, () => (this.#hasSteppedDown = true))
  }

  waitBeforeRetry(): Promise<void> {
    this.nextEvent()
    return Promise.resolve()
  }

  /** Runs one of the events, or none. */
  nextEvent(): void {
    if (this.#events >= EVENT_LIMIT) return
    const event = EVENTS[this.#choices.next(EVENTS.length)] ?? 'nothing'
    if (event === 'nothing') return
    this.#events += 1
    switch (event) {
      case 'crash':
        this.#isDead = true
        return
      case 'writeToA':
      case 'writeToB':
        this.#write()
        this.#receive(event === 'writeToA' ? A : B)
        return
      case 'receiveA':
      case 'receiveB':
        this.#receive(event === 'receiveA' ? A : B)
    }
  }

  #write(): void {
    const takesWrites = !this.#hasSteppedDown || this.#variant === 'stepDownIsIgnored'
    if (!this.#isDead && takesWrites) this.#received.set(P, this.at(P) + 1)
  }

  #receive(server: BackendServerId): void {
    const isPaused = this.#paused.has(server) && this.#variant !== 'pauseIsIgnored'
    if (this.#isDead || isPaused) return
    this.#received.set(server, this.at(P))
    this.#acknowledge()
  }

  #acknowledge(): void {
    const held = Math.min(this.at(P), Math.max(this.at(A), this.at(B)))
    this.acknowledged = Math.max(this.acknowledged, held)
  }

  /** The command is executed and answered, executed with its answer lost, or lost before execution. */
  #command(server: BackendServerId, effect: () => unknown): Promise<ServerReport | null> {
    this.nextEvent()
    if (server === P && this.#isDead) return Promise.resolve(null)
    const outcome = this.#lostCommands < LOST_COMMAND_LIMIT ? this.#choices.next(3) : 0
    if (outcome !== 0) this.#lostCommands += 1
    if (outcome !== 2) effect()
    return Promise.resolve(outcome === 0 ? this.#describe(server) : null)
  }

  #describe(server: BackendServerId): ServerReport {
    return {
      role: server === P && !this.#hasSteppedDown ? 'primary' : 'replica',
      term: term(1),
      received: logPosition(1, this.at(server)),
      pausedFor: this.#paused.has(server) ? NEXT : term(0),
    }
  }
}

async function choose(group: ExploredGroup, variant: Variant): Promise<BackendServerId | null> {
  if (variant === 'firstAnswerWins') return (await group.report(A)) === null ? B : A
  const plan = {
    members: [member(P), member(A), member(B)],
    isComplete: true,
    hasUnfinishedOrder: false,
    keepsPrimary: false,
  }
  const chosen = await new PrimaryChoice(plan, group).choose()
  return chosen.isOk() ? chosen.value.server : null
}

interface Explored {
  readonly runs: number
  readonly promotions: number
  readonly losses: number
}

/** Explores all sequences up to the first loss. */
async function exploreAll(variant: Variant, start: Start): Promise<Explored> {
  let promotions = 0
  let losses = 0
  const runs = await explore(async choices => {
    const group = new ExploredGroup(choices, variant, start)
    const chosen = await choose(group, variant)
    if (chosen === null) return true
    promotions += 1
    // Between the choice and the promotion the old primary may still accept writes.
    group.nextEvent()
    if (group.at(chosen) < group.acknowledged) losses += 1
    return losses === 0
  })
  return { runs, promotions, losses }
}

describe('PrimaryChoice under every order of events within bounds', () => {
  for (const start of STARTS) {
    it(`loses no acknowledged write with ${start.name}`, async () => {
      const { runs, promotions, losses } = await exploreAll('shipped', start)
      expect(losses).toEqual(0)
      expect(promotions > 0 && runs > 1000).toEqual(true)
    })
  }

  const mutations = ['pauseIsIgnored', 'stepDownIsIgnored', 'firstAnswerWins'] as const
  for (const variant of mutations) {
    it(`loses an acknowledged write in the faulty variant ${variant}`, async () => {
      let losses = 0
      for (const start of STARTS) losses += (await exploreAll(variant, start)).losses
      expect(losses > 0).toEqual(true)
    })
  }
})
