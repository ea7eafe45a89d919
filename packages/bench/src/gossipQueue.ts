/**
 * `node packages/bench/dist/src/gossipQueue.js`: compares queue policies for one slow receiver of
 * gossip: replacing older items of a key, or keeping every item. Runs the production queue in
 * virtual time. The last line is one JSON object.
 */
import { GossipQueue, type GossipQueueOptions } from '@nutmegcourse/coordination'
import type { GossipItem } from '@nutmegcourse/protocol'
import {
  SeededRandom,
  availabilityZoneId,
  entryHostId,
  incarnation,
  regionId,
} from '@nutmegcourse/shared'

const BATCH_ITEMS = 64
const STEP_MILLISECONDS = 10
const BURST_MILLISECONDS = 60_000
const MAX_MILLISECONDS = 600_000
const SEED = 12

interface Workload {
  readonly name: string
  readonly keys: number
  /** Changes per second over all keys, for one minute. */
  readonly changesPerSecond: number
  /** How long the receiver takes to process a batch. */
  readonly batchMilliseconds: number
}

const WORKLOADS: readonly Workload[] = [
  { name: 'a usual day', keys: 3400, changesPerSecond: 0.2, batchMilliseconds: 2000 },
  {
    name: 'a zone of 125 hosts comes and goes',
    keys: 125,
    changesPerSecond: 125,
    batchMilliseconds: 2000,
  },
  {
    name: 'the same, receiver frozen 30 s at a time',
    keys: 125,
    changesPerSecond: 125,
    batchMilliseconds: 30_000,
  },
  {
    name: 'a region of 375 hosts comes and goes',
    keys: 375,
    changesPerSecond: 375,
    batchMilliseconds: 500,
  },
]

const POLICIES: readonly { readonly name: string; readonly options: GossipQueueOptions }[] = [
  { name: 'plain', options: { limit: 4096, replaceOlder: false } },
  { name: 'plain, unbounded', options: { limit: Number.POSITIVE_INFINITY, replaceOlder: false } },
  { name: 'replacing', options: { limit: 4096, replaceOlder: true } },
]

interface Outcome {
  readonly workload: string
  readonly policy: string
  readonly longestQueue: number
  readonly sent: number
  readonly dropped: number
  /** Keys whose newest value the receiver never got; only anti-entropy would deliver it. */
  readonly keysLeftOld: number
  /** Age of a value when the receiver gets it. */
  readonly meanStalenessMilliseconds: number
  readonly worstStalenessMilliseconds: number
  /** From the end of the burst until the queue is empty. */
  readonly catchUpMilliseconds: number
}

function memberItem(key: number, value: number): GossipItem {
  return {
    kind: 'member',
    member: {
      entryHost: entryHostId(`host-${key}`),
      zone: availabilityZoneId('zone'),
      region: regionId('region'),
      address: '127.0.0.1',
      port: 1,
      incarnation: incarnation(value),
      status: 'alive',
    },
  }
}

class Receiver {
  readonly newest = new Map<string, number>()
  readonly #staleness: number[] = []
  readonly #createdAt: readonly number[]

  /** `createdAt`: creation time of each value, numbered from 0. */
  constructor(createdAt: readonly number[]) {
    this.#createdAt = createdAt
  }

  receive(items: readonly GossipItem[], now: number): void {
    for (const item of items) {
      if (item.kind !== 'member') continue
      const { entryHost, incarnation: value } = item.member
      this.newest.set(entryHost, Math.max(value, this.newest.get(entryHost) ?? -1))
      this.#staleness.push(now - (this.#createdAt[value] ?? now))
    }
  }

  get meanStaleness(): number {
    return this.#staleness.reduce((sum, age) => sum + age, 0) / Math.max(1, this.#staleness.length)
  }

  get worstStaleness(): number {
    return this.#staleness.reduce((worst, age) => Math.max(worst, age), 0)
  }
}

function run(workload: Workload, policy: (typeof POLICIES)[number]): Outcome {
  const random = new SeededRandom(SEED)
  const queue = new GossipQueue(policy.options)
  const createdAt: number[] = []
  const newestByKey = new Map<string, number>()
  const receiver = new Receiver(createdAt)
  let inFlight: { readonly items: readonly GossipItem[]; readonly doneAt: number } | null = null
  let longestQueue = 0
  let sent = 0
  let now = 0
  let emptyAt = 0
  const isOver = (): boolean => now > BURST_MILLISECONDS && inFlight === null && queue.length === 0
  while (!isOver() && now < MAX_MILLISECONDS) {
    now += STEP_MILLISECONDS
    const due = now <= BURST_MILLISECONDS ? (workload.changesPerSecond * now) / 1000 : 0
    while (createdAt.length < due) {
      const key = Math.floor(random.next() * workload.keys)
      newestByKey.set(`host-${key}`, createdAt.length)
      queue.push(memberItem(key, createdAt.length))
      createdAt.push(now)
    }
    longestQueue = Math.max(longestQueue, queue.length)
    if (inFlight !== null && now >= inFlight.doneAt) {
      receiver.receive(inFlight.items, now)
      inFlight = null
      emptyAt = now
    }
    if (inFlight === null && queue.length > 0) {
      const items = queue.take(BATCH_ITEMS)
      sent += items.length
      inFlight = { items, doneAt: now + workload.batchMilliseconds }
    }
  }
  const left = [...newestByKey].filter(([key, value]) => receiver.newest.get(key) !== value)
  return {
    workload: workload.name,
    policy: policy.name,
    longestQueue,
    sent,
    dropped: queue.dropped,
    keysLeftOld: left.length,
    meanStalenessMilliseconds: Math.round(receiver.meanStaleness),
    worstStalenessMilliseconds: receiver.worstStaleness,
    catchUpMilliseconds: Math.max(0, emptyAt - BURST_MILLISECONDS),
  }
}

const outcomes = WORKLOADS.flatMap(workload => POLICIES.map(policy => run(workload, policy)))
for (const outcome of outcomes) {
  const { workload, policy, ...figures } = outcome
  const cells = Object.entries(figures).map(([name, value]) => `${name} ${value}`)
  console.log(`${workload} | ${policy} | ${cells.join(' | ')}`)
}
console.log(JSON.stringify({ outcomes }))
