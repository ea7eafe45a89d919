/** Explores the states of a specification within its bounds, breadth first, up to the first violation. */
import { getAdjacencyMap } from '@xstate/graph'
import type { ActorLogic, EventObject } from 'xstate'

export interface Specification<State, Step extends EventObject> {
  readonly initial: State
  readonly successors: (state: State) => readonly { readonly step: Step; readonly next: State }[]
  readonly key: (state: State) => string
  /** Returns the name of the violated invariant; null if all hold. */
  readonly violation: (state: State) => string | null
}

export interface Exploration<Step> {
  readonly states: number
  /** Excludes transitions to states that were already known when their steps were listed. */
  readonly transitions: number
  readonly seconds: number
  readonly violation: Violation<Step> | null
}

export interface Violation<Step> {
  readonly invariant: string
  /** A shortest sequence of steps from the initial state to the violation. */
  readonly path: readonly Step[]
}

interface StateSnapshot<State> {
  readonly status: 'active'
  readonly output: undefined
  readonly error: undefined
  readonly state: State
}

/** Stops the exploration at the first violation. */
class ViolationFound extends Error {
  readonly key: string

  constructor(invariant: string, key: string) {
    super(invariant)
    this.key = key
  }
}

interface Origin<Step> {
  readonly step: Step
  readonly from: string
}

export function explore<State, Step extends EventObject>(
  specification: Specification<State, Step>,
): Exploration<Step> {
  const { key, successors, violation } = specification
  const origins = new Map<string, Origin<Step>>()
  const seen = new Set<string>()
  // getAdjacencyMap requests the steps of a state first and then applies them one by one.
  let current: ReadonlyMap<Step, State> = new Map()
  let transitions = 0
  const startedAt = performance.now()
  const wrap = (state: State): StateSnapshot<State> => ({
    status: 'active',
    output: undefined,
    error: undefined,
    state,
  })
  const logic = {
    transition: (snapshot: StateSnapshot<State>, step: Step) =>
      wrap(current.get(step) ?? snapshot.state),
    getInitialSnapshot: () => wrap(specification.initial),
    getPersistedSnapshot: (snapshot: StateSnapshot<State>) => snapshot,
  } as unknown as ActorLogic<StateSnapshot<State>, Step, undefined>
  const measure = (found: Violation<Step> | null): Exploration<Step> => ({
    states: seen.size,
    transitions,
    seconds: (performance.now() - startedAt) / 1000,
    violation: found,
  })
  try {
    getAdjacencyMap(logic, {
      serializeState: (snapshot, step, previous) => {
        const text = key(snapshot.state)
        if (seen.has(text)) return text
        seen.add(text)
        if (step !== undefined && previous !== undefined) {
          origins.set(text, { step, from: key(previous.state) })
        }
        const broken = violation(snapshot.state)
        if (broken !== null) throw new ViolationFound(broken, text)
        return text
      },
      serializeEvent: step => JSON.stringify(step),
      events: snapshot => {
        const options = successors(snapshot.state).filter(({ next }) => !seen.has(key(next)))
        transitions += options.length
        current = new Map(options.map(({ step, next }) => [step, next]))
        return options.map(({ step }) => step)
      },
    })
  } catch (error) {
    if (!(error instanceof ViolationFound)) throw error
    return measure({ invariant: error.message, path: pathTo(error.key, origins) })
  }
  return measure(null)
}

function pathTo<Step>(key: string, origins: ReadonlyMap<string, Origin<Step>>): readonly Step[] {
  const path: Step[] = []
  for (let origin = origins.get(key); origin !== undefined; origin = origins.get(origin.from)) {
    path.unshift(origin.step)
  }
  return path
}

/** Formats the bounds and the result of the exploration as one line. */
export function describeExploration(
  name: string,
  bounds: object,
  exploration: Exploration<unknown>,
): string {
  const { seconds, states, transitions, violation } = exploration
  const limits = Object.entries(bounds).map(([bound, value]) => `${bound} ${String(value)}`)
  const found = violation === null ? 'no violation' : `violated: ${violation.invariant}`
  const size = `${states} states, ${transitions} transitions, ${seconds.toFixed(1)} s`
  return `${name} (${limits.join(', ')}): ${size}, ${found}`
}
