/** The state of the group specification: backend servers, failover attempts, writes, term starts and a read. */

export const SERVERS = 3
export const MAJORITY = 2

/** A log record: the term that wrote it and the number of the write; 0 marks the start of the term. */
export interface Entry {
  readonly term: number
  readonly write: number
}

export interface Position {
  readonly term: number
  readonly offset: number
}

export interface ServerState {
  readonly log: readonly Entry[]
  /** Commands of lower terms are refused. */
  readonly fencedTerm: number
  /** The term in which the server considers itself primary; 0 for a replica. */
  readonly primaryTerm: number
  /** The term of the primary that it replicates from; 0 for none. */
  readonly followedTerm: number
}

export interface AttemptState {
  readonly term: number
  /** The position that each server reported when it was fenced; null before its answer. */
  readonly promises: readonly (Position | null)[]
  readonly chosenServer: number | null
  readonly isPromoted: boolean
}

export interface WriteState {
  readonly term: number
  readonly offset: number
  /** Whether each server was observed to hold the write. */
  readonly holders: readonly boolean[]
  readonly isAcknowledged: boolean
  /** The term whose start excludes the write, once its caller received `not run`; otherwise 0. */
  readonly rolledBackByTerm: number
}

/** A recorded term start, and which servers were observed with a log that ends in the term. */
export interface TermStartState {
  readonly term: number
  readonly startsAfter: Position
  readonly holders: readonly boolean[]
  /** A majority was observed with such a log, so every later primary has the start. */
  readonly isInForce: boolean
}

/** A pending read: the writes it must see, and each server's lowest position since the read arrived. */
export interface ReadState {
  readonly requiredWrites: readonly number[]
  readonly lowestReported: readonly Position[]
  /** The lowest position reported since then by a server that considered itself primary; null if none did. */
  readonly lowestFromPrimaries: Position | null
}

export interface GroupState {
  readonly servers: readonly ServerState[]
  readonly attempts: readonly AttemptState[]
  /** Write number n is at index n - 1. */
  readonly writes: readonly WriteState[]
  readonly termStarts: readonly TermStartState[]
  readonly read: ReadState | null
}

export interface GroupBounds {
  readonly attempts: number
  readonly writes: number
  /** Whether one read may arrive, at any point. */
  readonly reads: boolean
}

/** The guard that a faulty variant of the specification omits, or the mistake that it makes. */
export type Mutation =
  | 'none'
  | 'noFence'
  | 'acknowledgeBeforeMajority'
  | 'noTermCheck'
  | 'noFenceCheck'
  | 'noTermRecord'
  | 'sharedTerm'
  | 'chooseAny'
  | 'promoteUnfenced'
  | 'primaryReportAsBound'
  | 'rollBackBeforeMajority'
  | 'rollBackByAnyLaterTerm'

export const comparePositions = (left: Position, right: Position): number =>
  left.term === right.term ? left.offset - right.offset : left.term - right.term

export function positionOf(server: ServerState, mutation: Mutation): Position {
  const written = server.log.at(-1)?.term ?? 0
  const term = mutation === 'noTermRecord' ? Math.max(written, server.followedTerm) : written
  return { term, offset: server.log.length }
}

export function initialState(bounds: GroupBounds, mutation: Mutation): GroupState {
  const log = [{ term: 1, write: 0 }]
  const servers = Array.from({ length: SERVERS }, (_, index) => {
    return {
      log,
      fencedTerm: 1,
      primaryTerm: index === 0 ? 1 : 0,
      followedTerm: index === 0 ? 0 : 1,
    }
  })
  const attempts = Array.from({ length: bounds.attempts }, (_, index) => ({
    term: mutation === 'sharedTerm' ? 2 : index + 2,
    promises: Array.from({ length: SERVERS }, () => null),
    chosenServer: null,
    isPromoted: false,
  }))
  return { servers, attempts, writes: [], termStarts: [], read: null }
}

const keys = new WeakMap<GroupState, string>()

/** A short key that two states share only if they are equal up to swapping servers 1 and 2. */
export function canonicalKey(state: GroupState): string {
  const known = keys.get(state)
  if (known !== undefined) return known
  const [straight, swapped] = [encodeState(state, [0, 1, 2]), encodeState(state, [0, 2, 1])]
  const key = straight < swapped ? straight : swapped
  keys.set(state, key)
  return key
}

/** Lists the servers in the given `order`; servers 1 and 2 have the same initial state and can be swapped. */
function encodeState(state: GroupState, order: readonly number[]): string {
  const arrange = <Item>(items: readonly Item[]): readonly Item[] =>
    order.map(index => items[index] as Item)
  const encodePosition = (position: Position | null): string =>
    position === null ? '-' : `${position.term}.${position.offset}`
  const flags = (holders: readonly boolean[]): string =>
    arrange(holders)
      .map(holds => (holds ? '1' : '0'))
      .join('')
  const servers = arrange(state.servers).map(server => {
    const log = server.log.map(entry => `${entry.term}${entry.write}`).join('')
    return `${log}/${server.fencedTerm}${server.primaryTerm}${server.followedTerm}`
  })
  const attempts = state.attempts.map(attempt => {
    const promises = arrange(attempt.promises).map(encodePosition).join(',')
    return `${promises}/${attempt.chosenServer === null ? '-' : order.indexOf(attempt.chosenServer)}${attempt.isPromoted ? 'p' : ''}`
  })
  const writes = state.writes.map(write => {
    const done = `${write.isAcknowledged ? 'a' : ''}${write.rolledBackByTerm}`
    return `${write.term}.${write.offset}${flags(write.holders)}${done}`
  })
  const starts = state.termStarts.map(
    start =>
      `${start.term}@${encodePosition(start.startsAfter)}${flags(start.holders)}${start.isInForce ? 'f' : ''}`,
  )
  const { read } = state
  const reading =
    read === null
      ? ''
      : `${read.requiredWrites.join('')}r${arrange(read.lowestReported).map(encodePosition).join(',')}${encodePosition(read.lowestFromPrimaries)}`
  return [servers, attempts, writes, starts].map(part => part.join(' ')).join('|') + reading
}
