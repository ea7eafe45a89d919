/** The starts and bounds of the exploration. */
import type { ChangePlan } from '../../src/index.js'
import { claimProgram, type Fault } from './claimProgram.js'
import type { ChangeStart, Holder, HolderCall } from './changeExploration.js'
import { member } from './groupMember.js'
import {
  nameOf,
  type Budget,
  type World,
  type WorldOrder,
  type WorldServer,
  type WorldVariant,
} from './groupWorld.js'
import { ReplayedProgram } from './replayedProgram.js'

const P = 0
const A = 1
const B = 2
const N = 3

export interface Case {
  readonly name: string
  /** The logs of the servers in order. */
  readonly logs: readonly string[]
  readonly leader?: number
  readonly term?: number
  readonly dead?: readonly number[]
  readonly emptied?: readonly number[]
  /** What was acknowledged; by default what two logs hold. */
  readonly acknowledged?: string
  /** At most this many states; a case beyond it is not explored completely. */
  readonly stateLimit?: number
  readonly leaving?: readonly number[]
  readonly handOver?: World['handOver']
  readonly budget: Partial<Budget>
  /** The servers that give no answer to the first holder. */
  readonly cutFrom?: readonly number[]
  /** The server that the holder believes to lead. */
  readonly believed?: number | null
  readonly unlisted?: readonly number[]
  /** The servers that the holder takes for ended. */
  readonly gone?: readonly number[]
  /** Only the orders are checked: what the servers do once one was sent may lose a write. */
  readonly checksOrdersOnly?: boolean
  readonly holders?: number
  readonly writesOnceEnded?: boolean
  /** What an earlier holder left: orders that may still be carried out, and promotions that will take effect. */
  readonly earlier?: Earlier
}

interface Earlier {
  /** The earlier holder ended its change, as a repeated order was answered, and removed the record of it. */
  readonly isDone?: boolean
  readonly late?: readonly WorldOrder[]
  readonly effects?: readonly number[]
  /** The servers that it paused for the next term. */
  readonly paused?: readonly number[]
}

const ONE_WRITE = { writes: 1 }

const FIRST_CASES: readonly Case[] = [
  { name: 'all logs are equal', logs: ['1', '1', '1'], budget: { writes: 2 } },
  {
    name: 'all logs are equal and an order is not answered',
    logs: ['1', '1', '1'],
    budget: { writes: 1, unanswered: 1 },
  },
  { name: 'a replica is behind', logs: ['11', '1', '11'], budget: ONE_WRITE },
  { name: 'the primary crashes', logs: ['1', '1', '1'], budget: { writes: 2, crashes: 1 } },
  {
    name: 'a server crashes and comes back',
    logs: ['1', '1', '1'],
    budget: { writes: 1, crashes: 1, restarts: 1 },
  },
  {
    name: 'a server restarts',
    logs: ['1', '1', '1'],
    budget: { writes: 1, restarts: 1 },
    stateLimit: 6000,
  },
  {
    name: 'a server restarts without its log',
    logs: ['11', '11', '11'],
    budget: { writes: 1, emptyRestarts: 1 },
    stateLimit: 16_000,
  },
  {
    name: 'the believed primary is a replica of four by now',
    logs: ['1', '1', '1', '1'],
    term: 2,
    leader: N,
    cutFrom: [N],
    budget: ONE_WRITE,
  },
  {
    name: 'the believed primary is a replica of three by now',
    logs: ['1', '1', '1'],
    term: 2,
    leader: B,
    cutFrom: [B],
    budget: ONE_WRITE,
  },
  {
    name: 'the believed primary restarted without its log',
    logs: ['', '1', '11'],
    emptied: [P],
    cutFrom: [B],
    budget: {},
  },
  {
    name: 'a replica restarted without its log and the primary is dead',
    logs: ['11', '1', ''],
    emptied: [B],
    dead: [P],
    acknowledged: '11',
    budget: {},
  },
  {
    name: 'the list lacks a replica',
    logs: ['11', '1', '11'],
    unlisted: [B],
    budget: ONE_WRITE,
  },
  {
    name: 'the list lacks a replica and the primary is dead',
    logs: ['11', '1', '11'],
    unlisted: [B],
    dead: [P],
    budget: {},
  },
  {
    name: 'a leaving replica hands its log to a new server',
    logs: ['1', '1', '1', ''],
    emptied: [N],
    leaving: [B],
    handOver: { from: B, to: N },
    budget: ONE_WRITE,
  },
  {
    name: 'a second holder claims while the first one may go on',
    logs: ['1', '1', '1'],
    budget: { writes: 1, lapses: 1 },
    holders: 2,
  },
  {
    name: 'a second holder claims after the primary crashed',
    logs: ['1', '1', '1'],
    dead: [P],
    budget: { lapses: 1, restarts: 1, writes: 1 },
    holders: 2,
  },
  {
    name: 'a second holder claims while a replica is behind',
    logs: ['11', '1', '11'],
    budget: { writes: 1, lapses: 1 },
    holders: 2,
  },
  {
    name: 'a second holder claims and an order is not answered',
    logs: ['1', '1', '1'],
    budget: { writes: 1, lapses: 1, unanswered: 1 },
    holders: 2,
  },
]

/** A claim renews its token fewer times than this. */
const TOKENS_OF_A_CLAIM = 10

/** The earlier holder had the first token. */
const ORDERED = (server: number): WorldOrder => ({
  kind: 'promote',
  server,
  token: TOKENS_OF_A_CLAIM,
  shown: null,
})

const EARLIER_CASES: readonly Case[] = [
  {
    name: 'the earlier promotion of the candidate is to take effect',
    logs: ['1', '1', '1'],
    budget: ONE_WRITE,
    earlier: { effects: [A], paused: [B] },
  },
  {
    name: 'the earlier order to promote the candidate is late',
    logs: ['1', '1', '1'],
    budget: ONE_WRITE,
    earlier: { late: [ORDERED(A)], paused: [B] },
  },
  {
    name: 'the earlier promotion of the furthest replica is to take effect',
    logs: ['11', '1', '11'],
    budget: ONE_WRITE,
    earlier: { effects: [B], paused: [A, B] },
  },
  {
    name: 'the earlier order to promote the furthest replica is late',
    logs: ['11', '1', '11'],
    budget: ONE_WRITE,
    earlier: { late: [ORDERED(B)], paused: [A, B] },
  },
  {
    name: 'the earlier order to promote is late and the primary has stepped down',
    logs: ['11', '1', '11'],
    budget: ONE_WRITE,
    earlier: { late: [ORDERED(B), { kind: 'stepDown', server: P, term: 2 }], paused: [A, B] },
  },
  {
    name: 'the pauses beside an earlier order have ended, and writes go on once the later holder has ended',
    logs: ['1', '1', '1'],
    budget: ONE_WRITE,
    writesOnceEnded: true,
    earlier: { late: [ORDERED(B)] },
  },
  {
    name: 'the pauses beside an earlier order have ended, and the primary is leaving',
    logs: ['1', '1', '1'],
    budget: ONE_WRITE,
    leaving: [P],
    writesOnceEnded: true,
    earlier: { late: [ORDERED(B)] },
  },
  {
    name: 'the pauses beside an earlier order have ended, and the primary is dead',
    logs: ['1', '1', '1'],
    budget: { writes: 1, restarts: 1 },
    dead: [P],
    writesOnceEnded: true,
    earlier: { late: [ORDERED(B)] },
  },
  {
    // A write before the later holder has reached any server would be lost whatever it did.
    name: 'an earlier promotion and a resume are late',
    logs: ['1', '1', '1'],
    budget: ONE_WRITE,
    writesOnceEnded: true,
    earlier: { late: [ORDERED(A), { kind: 'resume', server: B }], paused: [B] },
  },
  {
    name: 'the primary is dead and the earlier order to promote is late',
    logs: ['1', '1', '1'],
    dead: [P],
    budget: { writes: 1, restarts: 1 },
    earlier: { late: [ORDERED(A)], paused: [B] },
  },
  {
    name: 'the earlier order was for a replica that gives no answer now',
    logs: ['1', '1', '1'],
    cutFrom: [A],
    budget: { writes: 1 },
    earlier: { late: [ORDERED(A)], paused: [B] },
  },
  {
    name: 'the earlier order was for a replica that gives no answer now, and the primary is dead',
    logs: ['1', '1', '1'],
    dead: [P],
    cutFrom: [A],
    budget: { writes: 2 },
    earlier: { late: [ORDERED(A)], paused: [B] },
  },
  {
    name: 'the earlier change is done, but its order without an answer is late',
    logs: ['1', '1', '1'],
    leader: A,
    term: 2,
    leaving: [A],
    budget: ONE_WRITE,
    earlier: { late: [ORDERED(A)], isDone: true },
  },
]

/** A round ends without an order, or its order without an answer, and the next round knows more than it sees. */
const ROUND_CASES: readonly Case[] = [
  {
    name: 'the primary is gone and the replica that holds the rest crashes once it has answered',
    logs: ['11', '1', '11'],
    dead: [P],
    gone: [P],
    budget: { crashes: 1 },
    checksOrdersOnly: true,
  },
  {
    name: 'the order is not answered, and a paused replica restarts beside an unreachable primary',
    logs: ['1', '1', '1'],
    cutFrom: [P],
    budget: { writes: 1, unanswered: 1, restarts: 1 },
    checksOrdersOnly: true,
    stateLimit: 20_000,
  },
  {
    name: 'the order is not answered, and a paused replica restarts while the primary is dead',
    logs: ['1', '1', '1'],
    dead: [P],
    budget: { writes: 1, unanswered: 1, restarts: 2 },
    checksOrdersOnly: true,
    stateLimit: 20_000,
  },
]

export const CASES: readonly Case[] = [...FIRST_CASES, ...EARLIER_CASES, ...ROUND_CASES]

const NO_BUDGET: Budget = {
  writes: 0,
  unanswered: 0,
  crashes: 0,
  restarts: 0,
  emptyRestarts: 0,
  lapses: 0,
}

function worldOf(given: Case): World {
  const { logs, leader = P, term = 1, dead = [], emptied = [], earlier = {}, budget } = given
  const servers = logs.map((log, index): WorldServer => ({
    role: index === leader ? 'primary' : 'replica',
    log,
    pausedFor: earlier.paused?.includes(index) === true ? term + 1 : 0,
    isAlive: !dead.includes(index),
    isEmptied: emptied.includes(index),
    isLossUnseen: false,
  }))
  const [longest = '', second = ''] = [...logs].sort((left, right) => right.length - left.length)
  return {
    servers,
    term,
    leader,
    // Two logs hold what was acknowledged; one of them may have been lost since.
    acknowledged: given.acknowledged ?? (emptied.includes(leader) ? longest : second),
    newestToken: earlier.effects === undefined ? 0 : TOKENS_OF_A_CLAIM,
    effects: (earlier.effects ?? []).map(server => ({ server, ages: [0] })),
    late: earlier.late ?? [],
    handOver: given.handOver ?? null,
    budget: { ...NO_BUDGET, ...budget },
    isOrderShort: false,
    isLost: false,
  }
}

function holderOf(given: Case, index: number, fault: Fault): Holder {
  const { logs, believed = P, unlisted = [], cutFrom = [], leaving = [], gone = [] } = given
  const members = [...logs.keys()].filter(server => !unlisted.includes(server))
  const believedName = believed === null ? null : nameOf(believed)
  const group = {
    members: members.map(server =>
      member(nameOf(server), {
        isLeaving: leaving.includes(server),
        mayHoldWrites: !gone.includes(server),
        mayReturn: !gone.includes(server),
        mayBringLog: !gone.includes(server),
      }),
    ),
    isComplete: unlisted.length === 0 || fault === 'listCountsAsComplete',
  }
  const make = (hasUnfinishedOrder: boolean): ReplayedProgram<HolderCall> => {
    const plan: ChangePlan = {
      ...group,
      hasUnfinishedOrder,
      keepsPrimary: hasUnfinishedOrder && given.earlier?.isDone !== true,
    }
    const isFirstToken = given.earlier === undefined || fault === 'otherServerUnderSameToken'
    const token = (index + (isFirstToken ? 1 : 2)) * TOKENS_OF_A_CLAIM
    const change = { plan, believed: believedName, token, fault }
    return new ReplayedProgram(claimProgram(change), ({ kind }) => kind === 'wait')
  }
  return {
    program: make(false),
    afterUnfinished: make(true),
    cutFrom: index === 0 ? cutFrom : [],
  }
}

export function startOf(given: Case, fault: Fault, variant: WorldVariant): ChangeStart {
  const holders = Array.from({ length: given.holders ?? 1 }, (_, index) =>
    holderOf(given, index, fault),
  )
  return {
    world: worldOf(given),
    holders,
    variant,
    // The record of a change stays while an attempt at its order has no answer.
    isUnfinished: given.earlier !== undefined,
    writesOnceEnded: given.writesOnceEnded ?? false,
    checksOrdersOnly: given.checksOrdersOnly ?? false,
  }
}
