/**
 * The steps that a database group and its coordinators and callers may take: write, replicate,
 * fence, choose, promote, follow, and read by a bound. Any step may occur at any time, so a step
 * that never occurs models a lost message, a dead process or a partition, and a late step models a
 * paused process.
 *
 * Acknowledgements are not steps: the observers derive them. Observers do not change the servers,
 * and each further observation adds to what callers are promised. They therefore observe each state
 * as soon as it is reached: that is the worst case, and it avoids exploring the orders in which
 * answers may arrive.
 */
import { observe } from './groupObservers.js'
import {
  MAJORITY,
  SERVERS,
  comparePositions,
  positionOf,
  type AttemptState,
  type GroupBounds,
  type GroupState,
  type Mutation,
  type ReadState,
  type ServerState,
  type WriteState,
} from './groupState.js'
import {
  replicateNextRecord,
  applyFence,
  applyFollow,
  applyPromotion,
  applyWrite,
} from './serverRules.js'

export type GroupStep =
  | { readonly type: 'write'; readonly server: number }
  | { readonly type: 'replicate'; readonly server: number }
  | { readonly type: 'fence'; readonly attempt: number; readonly server: number }
  | { readonly type: 'choose'; readonly attempt: number; readonly server: number }
  | { readonly type: 'promote'; readonly attempt: number }
  | { readonly type: 'follow'; readonly attempt: number; readonly server: number }
  | { readonly type: 'read' }

const INDEXES = Array.from({ length: SERVERS }, (_, index) => index)
const NO_HOLDERS = INDEXES.map(() => false)

/** The steps that are allowed and change the state, each with the state that it leads to. */
export function successors(
  state: GroupState,
  bounds: GroupBounds,
  mutation: Mutation,
): readonly { readonly step: GroupStep; readonly next: GroupState }[] {
  return candidateSteps(state, bounds).flatMap(step => {
    const next = applyStep(state, step, mutation)
    return next === null ? [] : [{ step, next: observe(next, mutation) }]
  })
}

function candidateSteps(state: GroupState, bounds: GroupBounds): readonly GroupStep[] {
  const steps: GroupStep[] = []
  const attempts = state.attempts.map((_, index) => index)
  for (const server of INDEXES) {
    if (state.writes.length < bounds.writes) steps.push({ type: 'write', server })
    steps.push({ type: 'replicate', server })
    for (const attempt of attempts) {
      steps.push({ type: 'fence', attempt, server })
      steps.push({ type: 'choose', attempt, server })
      steps.push({ type: 'follow', attempt, server })
    }
  }
  for (const attempt of attempts) steps.push({ type: 'promote', attempt })
  if (bounds.reads && state.read === null) steps.push({ type: 'read' })
  return steps
}

/** Returns the state after the step; null if the specification refuses it or it changes nothing. */
export function applyStep(
  state: GroupState,
  step: GroupStep,
  mutation: Mutation = 'none',
): GroupState | null {
  switch (step.type) {
    case 'write':
      return write(state, step.server)
    case 'replicate':
      return replaceServer(state, step.server, replicateRecord(state, step.server))
    case 'fence':
      return fence(state, step.attempt, step.server, mutation)
    case 'choose':
      return choose(state, step.attempt, step.server, mutation)
    case 'promote':
      return promote(state, step.attempt, mutation)
    case 'follow':
      return follow(state, step.attempt, step.server)
    case 'read':
      return { ...state, read: startRead(state) }
  }
}

function write(state: GroupState, index: number): GroupState | null {
  const id = state.writes.length + 1
  const server = applyWrite(serverAt(state, index), id)
  if (server === null) return null
  const written: WriteState = {
    term: server.primaryTerm,
    offset: server.log.length,
    holders: INDEXES.map(each => each === index),
    isAcknowledged: false,
    rolledBackByTerm: 0,
  }
  return {
    ...state,
    servers: replace(state.servers, index, server),
    writes: [...state.writes, written],
  }
}

function replicateRecord(state: GroupState, index: number): ServerState | null {
  const server = serverAt(state, index)
  if (server.followedTerm === 0 || server.fencedTerm > server.followedTerm) return null
  const primary = state.servers.find(each => each.primaryTerm === server.followedTerm)
  return primary === undefined ? null : replicateNextRecord(server, primary)
}

function fence(
  state: GroupState,
  attemptIndex: number,
  index: number,
  mutation: Mutation,
): GroupState | null {
  const attempt = attemptAt(state, attemptIndex)
  const server = serverAt(state, index)
  const isFencedAfterChoice = attempt.chosenServer !== null && server.fencedTerm === attempt.term
  const isRepeated = attempt.promises[index] !== null || isFencedAfterChoice
  if (isRepeated) return null
  const fencedServer = mutation === 'noFence' ? server : applyFence(server, attempt.term)
  if (fencedServer === null) return null
  // After the choice a fence still takes effect at the server, but its answer is no longer used.
  const promise = attempt.chosenServer === null ? positionOf(server, mutation) : null
  const promises = replace(attempt.promises, index, promise)
  return {
    ...state,
    servers: replace(state.servers, index, fencedServer),
    attempts: replace(state.attempts, attemptIndex, { ...attempt, promises }),
  }
}

function choose(
  state: GroupState,
  attemptIndex: number,
  index: number,
  mutation: Mutation,
): GroupState | null {
  const attempt = attemptAt(state, attemptIndex)
  const promise = attempt.promises[index] ?? null
  if (attempt.chosenServer !== null || promise === null) return null
  const promises = attempt.promises.filter(each => each !== null)
  if (promises.length < MAJORITY) return null
  const isGreatest = promises.every(each => comparePositions(promise, each) >= 0)
  if (!isGreatest && mutation !== 'chooseAny') return null
  const start = { term: attempt.term, startsAfter: promise, holders: NO_HOLDERS, isInForce: false }
  const decided = { ...attempt, chosenServer: index, promises: INDEXES.map(() => null) }
  return {
    ...state,
    attempts: replace(state.attempts, attemptIndex, decided),
    termStarts: [...state.termStarts, start],
  }
}

function promote(state: GroupState, attemptIndex: number, mutation: Mutation): GroupState | null {
  const attempt = attemptAt(state, attemptIndex)
  if (attempt.chosenServer === null || attempt.isPromoted) return null
  const server = applyPromotion(serverAt(state, attempt.chosenServer), attempt.term, mutation)
  if (server === null) return null
  return {
    ...state,
    servers: replace(state.servers, attempt.chosenServer, server),
    attempts: replace(state.attempts, attemptIndex, { ...attempt, isPromoted: true }),
  }
}

function follow(state: GroupState, attemptIndex: number, index: number): GroupState | null {
  const attempt = attemptAt(state, attemptIndex)
  const server = serverAt(state, index)
  if (!attempt.isPromoted || attempt.chosenServer === index) return null
  if (server.followedTerm === attempt.term) return null
  return replaceServer(state, index, applyFollow(server, attempt.term))
}

function startRead(state: GroupState): ReadState {
  const required = state.writes.flatMap((each, index) => (each.isAcknowledged ? [index + 1] : []))
  const lowestReported = state.servers.map(server => positionOf(server, 'none'))
  return { requiredWrites: required, lowestReported, lowestFromPrimaries: null }
}

function replaceServer(
  state: GroupState,
  index: number,
  server: ServerState | null,
): GroupState | null {
  return server === null ? null : { ...state, servers: replace(state.servers, index, server) }
}

const replace = <Item>(items: readonly Item[], index: number, item: Item): readonly Item[] =>
  items.map((each, place) => (place === index ? item : each))

function serverAt(state: GroupState, index: number): ServerState {
  const server = state.servers[index]
  if (server === undefined) throw new Error(`server index ${index} is out of range`)
  return server
}

function attemptAt(state: GroupState, index: number): AttemptState {
  const attempt = state.attempts[index]
  if (attempt === undefined) throw new Error(`attempt index ${index} is out of range`)
  return attempt
}
