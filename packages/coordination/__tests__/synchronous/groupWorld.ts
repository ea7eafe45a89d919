/**
 * A group of servers with one primary, as an immutable state: logs, pauses, terms, orders that are still to be carried
 * out and promotions that are still to take effect. A log is a string with the term of each record as one digit.
 */
import {
  backendServerId,
  isAtOrPast,
  logPosition,
  term,
  type BackendServerId,
  type LogPosition,
} from '@nutmegcourse/shared'
import type { ServerReport } from '@nutmegcourse/protocol'

export interface WorldServer {
  readonly role: 'primary' | 'replica'
  readonly log: string
  readonly pausedFor: number
  readonly isAlive: boolean
  /** It restarted without its log and has received nothing since. */
  readonly isEmptied: boolean
  /** It has answered no order since it restarted without its log. */
  readonly isLossUnseen: boolean
}

export type ServerOrder =
  | { readonly kind: 'report'; readonly server: number }
  | { readonly kind: 'pause'; readonly server: number; readonly term: number }
  | { readonly kind: 'stepDown'; readonly server: number; readonly term: number }
  | { readonly kind: 'resume'; readonly server: number }

export interface PromotionOrder {
  readonly kind: 'promote'
  readonly server: number
  readonly token: number
  /** The furthest position that a replica had shown to the holder before it sent the order. */
  readonly shown: LogPosition | null
}

export type WorldOrder = ServerOrder | PromotionOrder

export interface PendingEffect {
  readonly server: number
  /** Waits that each holder has ended since the order was accepted, without the one that was under way. */
  readonly ages: readonly number[]
}

/** How many more of each kind of event may occur. */
export interface Budget {
  readonly writes: number
  readonly unanswered: number
  readonly crashes: number
  readonly restarts: number
  readonly emptyRestarts: number
  /** Claims that end although their holder may go on. */
  readonly lapses: number
}

export interface World {
  readonly servers: readonly WorldServer[]
  readonly term: number
  /** The server that leads or led the term last. */
  readonly leader: number
  /** The longest log of which every record may have been acknowledged. */
  readonly acknowledged: string
  readonly newestToken: number
  readonly effects: readonly PendingEffect[]
  /** Orders without an answer that may still be carried out. */
  readonly late: readonly WorldOrder[]
  /** A leaving server whose log moves to a joining one when it ends; null if there is none. */
  readonly handOver: { readonly from: number; readonly to: number } | null
  readonly budget: Budget
  /** A server was ordered to be promoted that lacks what a replica had shown to the holder. */
  readonly isOrderShort: boolean
  /** A promoted server lacks an acknowledged write, and had answered since it restarted, if it did, without its log. */
  readonly isLost: boolean
}

/** Faulty servers answer as if they had obeyed: a paused one receives, one that stepped down goes on writing. */
export type WorldVariant = 'faithful' | 'pauseIsIgnored' | 'stepDownIsIgnored'

/** Records that all logs hold beside those that are explored. */
const EARLIER_RECORDS = 100

export const NAMES: readonly BackendServerId[] = ['p', 'a', 'b', 'n'].map(backendServerId)

export const nameOf = (server: number): BackendServerId => NAMES[server] ?? backendServerId('?')

export const indexOf = (server: BackendServerId): number => NAMES.indexOf(server)

export function serverAt(world: World, index: number): WorldServer {
  const server = world.servers[index]
  if (server === undefined) throw new Error(`no server ${String(index)}`)
  return server
}

export function withServer(world: World, index: number, change: Partial<WorldServer>): World {
  const servers = world.servers.map((server, at) =>
    at === index ? { ...server, ...change } : server,
  )
  return { ...world, servers }
}

export const spend = (world: World, kind: keyof Budget): World => ({
  ...world,
  budget: { ...world.budget, [kind]: world.budget[kind] - 1 },
})

export function describeServer(world: World, index: number): ServerReport {
  const { role, log, pausedFor, isEmptied } = serverAt(world, index)
  const lastTerm = log === '' ? world.term : Number(log.at(-1))
  const offset = isEmptied ? 0 : EARLIER_RECORDS + log.length
  return {
    role,
    term: term(world.term),
    received: logPosition(lastTerm, offset),
    pausedFor: term(pausedFor),
  }
}

export function carryOut(world: World, order: ServerOrder): World {
  const { role, pausedFor } = serverAt(world, order.server)
  switch (order.kind) {
    case 'report':
      return world
    case 'pause':
      return role === 'replica' && order.term > world.term
        ? withServer(world, order.server, { pausedFor: order.term })
        : world
    case 'stepDown':
      return role === 'primary' && world.term < order.term
        ? withServer(world, order.server, { role: 'replica' })
        : world
    case 'resume':
      return pausedFor === 0 ? world : withServer(world, order.server, { pausedFor: 0 })
  }
}

export interface PromotionAnswer {
  readonly world: World
  readonly isAccepted: boolean
}

/** The token is checked here; what is accepted takes effect later. */
export function acceptPromotion(
  world: World,
  { server, token }: PromotionOrder,
  ages: readonly number[],
): PromotionAnswer {
  if (token < world.newestToken) return { world, isAccepted: false }
  const seen = { ...world, newestToken: token }
  const target = serverAt(world, server)
  if (!target.isAlive) return { world: seen, isAccepted: false }
  if (target.role === 'primary') return { world: seen, isAccepted: true }
  return { world: { ...seen, effects: [...seen.effects, { server, ages }] }, isAccepted: true }
}

/** Whether the server lacks, when it is ordered to be promoted, what a replica had shown to the holder in this term. */
export function isShortOf(world: World, { server, shown }: PromotionOrder): boolean {
  const { isEmptied, isAlive, role } = serverAt(world, server)
  if (shown === null || shown.term < world.term || isEmptied || !isAlive) return false
  return role === 'replica' && !isAtOrPast(describeServer(world, server).received, shown)
}

/** The promotion that was accepted first takes effect: its server leads the next term with what it has received. */
export function takeEffect(world: World): World {
  const [effect, ...effects] = world.effects
  if (effect === undefined) return world
  const promoted = serverAt(world, effect.server)
  if (promoted.role === 'primary') return { ...world, effects }
  const newTerm = world.term + 1
  const servers = world.servers.map((server, index): WorldServer => ({
    ...server,
    role: index === effect.server ? 'primary' : 'replica',
    log: commonPrefix(server.log, promoted.log),
    pausedFor: server.pausedFor <= newTerm || index === effect.server ? 0 : server.pausedFor,
  }))
  const isLost = !promoted.isLossUnseen && !holdsAcknowledged(world, promoted)
  return { ...world, servers, effects, term: newTerm, leader: effect.server, isLost }
}

/** One that was emptied holds less than the earlier records. */
const holdsAcknowledged = ({ acknowledged }: World, { log, isEmptied }: WorldServer): boolean =>
  !isEmptied && log.startsWith(acknowledged)

export function canWrite(world: World, variant: WorldVariant): boolean {
  const { role, isAlive, isEmptied } = serverAt(world, world.leader)
  const leads = role === 'primary' || variant === 'stepDownIsIgnored'
  return world.budget.writes > 0 && isAlive && leads && !isEmptied
}

export function write(world: World): World {
  const { log } = serverAt(world, world.leader)
  return spend(withServer(world, world.leader, { log: log + String(world.term) }), 'writes')
}

/** What the primary sent before it stepped down may also arrive. */
export function canReceive(world: World, index: number, variant: WorldVariant): boolean {
  const leader = serverAt(world, world.leader)
  const mayReplicate = leader.isAlive && !leader.isEmptied
  const { isAlive, pausedFor, log, isEmptied } = serverAt(world, index)
  const receives = pausedFor === 0 || variant === 'pauseIsIgnored'
  const isBehind = isEmptied || (leader.log.length > log.length && leader.log.startsWith(log))
  return index !== world.leader && isBehind && isAlive && mayReplicate && receives
}

/** One replica suffices for the acknowledgement of a write. */
export function receive(world: World, index: number): World {
  const { log } = serverAt(world, world.leader)
  const received = withServer(world, index, { log, isEmptied: false })
  return log.length > world.acknowledged.length ? { ...received, acknowledged: log } : received
}

/** A primary comes back as primary unless another server was promoted. */
export function restart(world: World, index: number): World {
  const role = index === world.leader ? 'primary' : 'replica'
  return withServer(world, index, { isAlive: true, pausedFor: 0, role })
}

export const restartEmpty = (world: World, index: number): World =>
  withServer(restart(world, index), index, { log: '', isEmptied: true, isLossUnseen: true })

/** A server that answers shows that it lost its log. */
export const withLossSeen = (world: World, index: number): World =>
  serverAt(world, index).isLossUnseen ? withServer(world, index, { isLossUnseen: false }) : world

/** The leaving server ends; the joining one has its log and knows of no pause of the other. */
export function handOver(world: World, from: number, to: number): World {
  const { log } = serverAt(world, from)
  const ended = withServer(world, from, { isAlive: false })
  const joining = serverAt(world, to)
  const isLonger = joining.isEmptied || log.length > joining.log.length
  return {
    ...(isLonger ? withServer(ended, to, { log, isEmptied: false }) : ended),
    handOver: null,
  }
}

function commonPrefix(left: string, right: string): string {
  let length = 0
  while (length < left.length && left[length] === right[length]) length += 1
  return left.slice(0, length)
}

export function worldKey(world: World): string {
  const { servers, budget, late, effects } = world
  const parts = [world.term, world.leader, world.acknowledged, world.newestToken].map(String)
  for (const { role, log, pausedFor, isAlive, isEmptied, isLossUnseen } of servers) {
    parts.push(`${role === 'primary' ? 'P' : 'R'}${log}/${String(pausedFor)}`)
    parts.push(`${isAlive ? '' : 'x'}${isEmptied ? 'e' : ''}${isLossUnseen ? 'u' : ''}`)
  }
  for (const { server, ages } of effects) parts.push(`E${String(server)}:${ages.join('.')}`)
  const orders = late.map(order => `L${describeOrder(order)}`).sort()
  parts.push(...orders, Object.values(budget).join('.'), world.handOver === null ? '' : 'H')
  return parts.join(' ')
}

export function describeOrder(order: WorldOrder): string {
  const name = nameOf(order.server)
  switch (order.kind) {
    case 'report':
    case 'resume':
      return `${order.kind} ${name}`
    case 'pause':
    case 'stepDown':
      return `${order.kind} ${name} for ${String(order.term)}`
    case 'promote':
      return `promote ${name} with ${String(order.token)}`
  }
}
