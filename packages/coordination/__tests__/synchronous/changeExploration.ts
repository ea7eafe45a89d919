/**
 * Explores, breadth first, every order of events in which holders of claims change the primary of a group: each
 * order to a server may be carried out at any moment, stay unanswered and be carried out later, and the group goes on
 * writing, receiving and restarting in between. A shortest sequence to the first loss is returned.
 */
import type { ServerReport } from '@nutmegcourse/protocol'
import {
  acceptPromotion,
  canReceive,
  canWrite,
  carryOut,
  describeOrder,
  describeServer,
  handOver,
  isShortOf,
  nameOf,
  receive,
  restart,
  restartEmpty,
  serverAt,
  spend,
  takeEffect,
  withLossSeen,
  withServer,
  worldKey,
  write,
  type PromotionOrder,
  type ServerOrder,
  type World,
  type WorldOrder,
  type WorldVariant,
} from './groupWorld.js'
import type { Answer, PendingCall, Program, ReplayedProgram } from './replayedProgram.js'

export type HolderCall =
  | ServerOrder
  | PromotionOrder
  | { readonly kind: 'wait' }
  /** Records that the change is done, in place of the record that it is unfinished. */
  | { readonly kind: 'markDone' }

export type HolderProgram = Program<HolderCall>

export type PromotionAnswerKind = 'accepted' | 'rejected' | 'noAnswer'

export interface Holder {
  readonly program: ReplayedProgram<HolderCall>
  /** The same holder when it finds the record of an unfinished change. */
  readonly afterUnfinished: ReplayedProgram<HolderCall>
  /** The servers that give this holder no answer. */
  readonly cutFrom: readonly number[]
}

export interface ChangeStart {
  readonly world: World
  readonly holders: readonly Holder[]
  readonly variant: WorldVariant
  /** An earlier holder left the record of an unfinished change. */
  readonly isUnfinished: boolean
  /** Only the orders to promote are checked, not what is lost once one was sent. */
  readonly checksOrdersOnly: boolean
  /** Nothing is written before a holder has ended its change. */
  readonly writesOnceEnded: boolean
}

export interface Exploration {
  readonly states: number
  readonly transitions: number
  readonly programStates: number
  readonly effects: number
  /** Whether all states within the bounds were reached. */
  readonly isComplete: boolean
  /** A shortest sequence to a loss; null if there is none. */
  readonly loss: readonly string[] | null
}

interface RunningProgram {
  readonly isAfterUnfinished: boolean
  readonly state: number
}

interface State {
  readonly world: World
  /** The holder whose claim is in the store. */
  readonly claim: number
  readonly isUnfinished: boolean
  readonly running: readonly RunningProgram[]
}

interface Unreached {
  readonly program: ReplayedProgram<HolderCall>
  readonly from: number
  readonly index: number
  readonly answer: Answer
}

interface Step {
  readonly label: string
  readonly next: State
}

export async function exploreChange(start: ChangeStart, stateLimit: number): Promise<Exploration> {
  return new ChangeExploration(start).run(stateLimit)
}

class ChangeExploration {
  readonly #start: ChangeStart
  readonly #seen = new Set<string>()
  /** The states of the next layer. */
  #reached: { readonly index: number; readonly state: State }[] = []
  /** For each state the one from which it was first reached. */
  readonly #origins: { readonly from: number; readonly label: string }[] = []
  /** Answers that no program has received yet in the state in which it now is. */
  readonly #unreached: Unreached[] = []
  #transitions = 0
  #effects = 0

  constructor(start: ChangeStart) {
    this.#start = start
  }

  async run(stateLimit: number): Promise<Exploration> {
    const first: State = {
      world: this.#start.world,
      claim: -1,
      isUnfinished: this.#start.isUnfinished,
      running: [],
    }
    await Promise.all(this.#start.holders.map(startPrograms))
    this.#add(this.#claim(first), -1, 'h1 claims')
    while (this.#reached.length > 0) {
      const layer = this.#reached
      this.#reached = []
      for (const { index, state } of layer) {
        const lossAt = await this.#expand(state, index)
        if (lossAt !== null) return this.#measure(false, this.#path(lossAt))
        if (this.#origins.length >= stateLimit) return this.#measure(false, null)
      }
    }
    return this.#measure(true, null)
  }

  /** Returns the index of a state with a loss; null if no step leads to one. */
  async #expand(state: State, index: number): Promise<number | null> {
    for (const { label, next } of await this.#reachedSteps(state)) {
      this.#transitions += 1
      this.#add(next, index, label)
      const isLost = next.world.isLost && !this.#start.checksOrdersOnly
      if (isLost || next.world.isOrderShort) return this.#origins.length - 1
    }
    return null
  }

  #add(state: State, from: number, label: string): void {
    const key = stateKey(state)
    if (this.#seen.has(key)) return
    this.#seen.add(key)
    if (!this.#isSettled(state)) this.#reached.push({ index: this.#origins.length, state })
    this.#origins.push({ from, label })
  }

  /** No server will be promoted any more, so nothing can be lost. */
  #isSettled({ world, claim, running }: State): boolean {
    const mayPromote = world.effects.length > 0 || world.late.some(({ kind }) => kind === 'promote')
    if (mayPromote || claim + 1 < this.#start.holders.length) return false
    return running.every((each, holder) => {
      const { result, isFinishing } = this.#program(holder, each).state(each.state)
      return result !== null || isFinishing
    })
  }

  #path(index: number): string[] {
    const labels: string[] = []
    for (let at = index; at >= 0; at = this.#origins[at]?.from ?? -1) {
      labels.unshift(this.#origins[at]?.label ?? '')
    }
    return labels
  }

  #measure(isComplete: boolean, loss: readonly string[] | null): Exploration {
    const programs = this.#start.holders.flatMap(({ program, afterUnfinished }) => [
      program.size,
      afterUnfinished.size,
    ])
    return {
      states: this.#origins.length,
      transitions: this.#transitions,
      programStates: programs.reduce((sum, size) => sum + size, 0),
      effects: this.#effects,
      isComplete,
      loss,
    }
  }

  /** The steps are listed again once the programs have been run with answers that are new to them. */
  async #reachedSteps(state: State): Promise<Step[]> {
    for (;;) {
      const steps = this.#steps(state)
      const unreached = this.#unreached.splice(0)
      if (unreached.length === 0) return steps
      for (const { program, from, index, answer } of unreached)
        await program.reach(from, index, answer)
    }
  }

  #steps(state: State): Step[] {
    const steps = this.#worldSteps(state)
    for (const [holder, running] of state.running.entries()) {
      const program = this.#program(holder, running).state(running.state)
      for (const pending of program.pending) {
        steps.push(...this.#callSteps(state, holder, pending))
      }
    }
    const claimed = this.#claimStep(state)
    return claimed === null ? steps : [...steps, claimed]
  }

  #program(holder: number, { isAfterUnfinished }: RunningProgram): ReplayedProgram<HolderCall> {
    const { program, afterUnfinished } = this.#holder(holder)
    return isAfterUnfinished ? afterUnfinished : program
  }

  #holder(index: number): Holder {
    const holder = this.#start.holders[index]
    if (holder === undefined) throw new Error(`no holder ${String(index)}`)
    return holder
  }

  /** The next holder claims once the present one has ended, or when its claim lapses. */
  #claimStep(state: State): Step | null {
    if (state.claim + 1 >= this.#start.holders.length) return null
    const name = `h${String(state.claim + 2)} claims`
    if (this.#hasEnded(state, state.claim)) return { label: name, next: this.#claim(state) }
    if (state.world.budget.lapses === 0) return null
    const lapsed = { ...state, world: spend(state.world, 'lapses') }
    return { label: `claim lapses, ${name}`, next: this.#claim(lapsed) }
  }

  #hasEnded(state: State, holder: number): boolean {
    const running = state.running[holder]
    if (running === undefined) return false
    return this.#program(holder, running).state(running.state).result !== null
  }

  #claim(state: State): State {
    const claim = state.claim + 1
    const isAfterUnfinished = state.isUnfinished
    const { program, afterUnfinished } = this.#holder(claim)
    const { id } = (isAfterUnfinished ? afterUnfinished : program).first
    const running = [...state.running, { isAfterUnfinished, state: id }]
    return { ...state, claim, isUnfinished: true, running }
  }

  #worldSteps(state: State): Step[] {
    const { world } = state
    const steps: Step[] = []
    const add = (label: string, next: World): unknown =>
      steps.push({ label, next: { ...state, world: next } })
    if (this.#canWrite(state)) add('write', write(world))
    const [effect] = world.effects
    if (effect !== undefined) {
      this.#effects += 1
      add(`promotion of ${nameOf(effect.server)} takes effect`, takeEffect(world))
    }
    for (const index of world.servers.keys()) this.#serverSteps(world, index, add)
    for (const [index, order] of world.late.entries()) {
      const rest = { ...world, late: world.late.filter((_, at) => at !== index) }
      add(`late: ${describeOrder(order)}`, this.#carryOutLate(state, rest, order))
    }
    if (world.handOver !== null) {
      const { from, to } = world.handOver
      const bothLive = serverAt(world, from).isAlive && serverAt(world, to).isAlive
      if (bothLive)
        add(`${nameOf(from)} ends, its log moves to ${nameOf(to)}`, handOver(world, from, to))
    }
    return steps
  }

  #canWrite(state: State): boolean {
    const { variant, writesOnceEnded } = this.#start
    const mayWrite =
      !writesOnceEnded || state.running.some((_, holder) => this.#hasEnded(state, holder))
    return mayWrite && canWrite(state.world, variant)
  }

  #serverSteps(world: World, index: number, add: (label: string, next: World) => unknown): void {
    const { budget } = world
    const name = nameOf(index)
    if (canReceive(world, index, this.#start.variant))
      add(`${name} receives`, receive(world, index))
    const { isAlive } = serverAt(world, index)
    if (isAlive && budget.crashes > 0) {
      add(`${name} crashes`, spend(withServer(world, index, { isAlive: false }), 'crashes'))
    }
    if (world.handOver === null && !isAlive && isGoneForGood(this.#start.world, index)) return
    if (budget.restarts > 0) add(`${name} restarts`, spend(restart(world, index), 'restarts'))
    if (budget.emptyRestarts > 0) {
      add(`${name} restarts empty`, spend(restartEmpty(world, index), 'emptyRestarts'))
    }
  }

  /** A wait that is under way may end at once. */
  #ages({ running }: State): number[] {
    return this.#start.holders.map((_, holder) => {
      const each = running[holder]
      if (each === undefined) return 0
      const { pending } = this.#program(holder, each).state(each.state)
      return pending.some(({ call }) => call.kind === 'wait') ? -1 : 0
    })
  }

  #carryOutLate(state: State, world: World, order: WorldOrder): World {
    if (order.kind === 'promote') return acceptPromotion(world, order, this.#ages(state)).world
    return serverAt(world, order.server).isAlive ? carryOut(world, order) : world
  }

  #callSteps(state: State, holder: number, pending: PendingCall<HolderCall>): Step[] {
    const { call } = pending
    const name = `h${String(holder + 1)}`
    const step = (label: string, next: State, key: string, value: unknown): Step => ({
      label: `${name} ${label}`,
      next: this.#answer(next, holder, pending.index, { key, value }),
    })
    switch (call.kind) {
      case 'wait': {
        if (!mayWaitEnd(state.world, holder)) return []
        const world = afterWait(state.world, holder)
        return [step('waited', { ...state, world }, 'ended', undefined)]
      }
      case 'markDone': {
        const isUnfinished = state.claim === holder ? false : state.isUnfinished
        return [step('marks done', { ...state, isUnfinished }, 'made', true)]
      }
      case 'promote':
        return this.#promotionSteps(state, call, step)
      case 'report':
      case 'pause':
      case 'stepDown':
      case 'resume':
        return this.#orderSteps(state, this.#holder(holder), call, step)
    }
  }

  #promotionSteps(state: State, call: PromotionOrder, step: StepMaker): Step[] {
    const isOrderShort = state.world.isOrderShort || isShortOf(state.world, call)
    const ordered = { ...state.world, isOrderShort }
    const { world, isAccepted } = acceptPromotion(ordered, call, this.#ages(state))
    const kind: PromotionAnswerKind = isAccepted ? 'accepted' : 'rejected'
    const label = describeOrder(call)
    const steps = [step(`${label}: ${kind}`, { ...state, world }, kind, kind)]
    if (state.world.budget.unanswered > 0) {
      const late = { ...state, world: withLate(state.world, call) }
      steps.push(step(`${label}: no answer`, late, 'noAnswer', 'noAnswer'))
    }
    return steps
  }

  #orderSteps(state: State, { cutFrom }: Holder, call: ServerOrder, step: StepMaker): Step[] {
    const { server } = call
    const label = describeOrder(call)
    if (cutFrom.includes(server) || !serverAt(state.world, server).isAlive) {
      return [step(`${label}: no answer`, state, 'none', null)]
    }
    const carriedOut = carryOut(state.world, call)
    const world = this.#isOrdered(state, server) ? carriedOut : withLossSeen(carriedOut, server)
    const report = describeServer(world, server)
    const key = reportKey(report)
    const steps = [step(`${label}: ${key}`, { ...state, world }, key, report)]
    if (state.world.budget.unanswered > 0) {
      const next =
        call.kind === 'report' ? spend(state.world, 'unanswered') : withLate(state.world, call)
      steps.push(step(`${label}: no answer`, { ...state, world: next }, 'none', null))
    }
    return steps
  }

  /**
   * A server that loses its log after the order to promote it takes the acknowledged writes with it: nothing withdraws
   * an order, and the promotion rolls back all other logs.
   */
  #isOrdered({ world, running }: State, index: number): boolean {
    const promotes = (order: HolderCall): boolean =>
      order.kind === 'promote' && order.server === index
    if (world.effects.some(({ server }) => server === index) || world.late.some(promotes))
      return true
    return running.some((each, holder) =>
      this.#program(holder, each)
        .state(each.state)
        .pending.some(({ call }) => promotes(call)),
    )
  }

  #answer(state: State, holder: number, index: number, answer: Omit<Answer, 'isClaimHeld'>): State {
    const running = state.running[holder]
    if (running === undefined) throw new Error('an answer to a holder that has no claim')
    const program = this.#program(holder, running)
    const full = { ...answer, isClaimHeld: state.claim === holder }
    const reached = program.after(running.state, index, full)
    if (reached === null) {
      this.#unreached.push({ program, from: running.state, index, answer: full })
      return state
    }
    const next = state.running.map((each, at) =>
      at === holder ? { ...each, state: reached } : each,
    )
    return { ...state, running: next }
  }
}

async function startPrograms({ program, afterUnfinished }: Holder): Promise<void> {
  await program.start()
  await afterUnfinished.start()
}

type StepMaker = (label: string, next: State, key: string, value: unknown) => Step

const withLate = (world: World, order: WorldOrder): World => ({
  ...spend(world, 'unanswered'),
  late: [...world.late, order],
})

/** A wait takes longer than a promotion: what was accepted before the wait began takes effect before its end. */
const mayWaitEnd = (world: World, holder: number): boolean =>
  world.effects.every(({ ages }) => (ages[holder] ?? 0) < 0)

const afterWait = (world: World, holder: number): World =>
  world.effects.length === 0
    ? world
    : {
        ...world,
        effects: world.effects.map(({ server, ages }) => ({
          server,
          ages: ages.map((age, index) => (index === holder ? age + 1 : age)),
        })),
      }

/** The leaving server does not come back. */
const isGoneForGood = (start: World, index: number): boolean => start.handOver?.from === index

const reportKey = ({ role, term, received, pausedFor }: ServerReport): string =>
  `${role} of ${String(term)} at ${String(received.term)}.${String(received.offset)}` +
  (pausedFor === 0 ? '' : `, paused for ${String(pausedFor)}`)

function stateKey({ world, claim, isUnfinished, running }: State): string {
  const programs = running.map(
    ({ isAfterUnfinished, state }) => `${isAfterUnfinished ? 'u' : ''}${String(state)}`,
  )
  return `${worldKey(world)}|${String(claim)}${isUnfinished ? 'u' : ''}|${programs.join(',')}`
}
