/**
 * Simulates the membership and gossip state machines of several hosts under a virtual clock, connected
 * by fake links that can be cut. A cut link drops what is sent; a link to a dead process breaks at once.
 */
import type { Member } from '@nutmegcourse/protocol'
import {
  SeededRandom,
  VirtualClock,
  availabilityZoneId,
  entryHostId,
  incarnation,
  regionId,
  type EntryHostId,
} from '@nutmegcourse/shared'
import {
  DEFAULT_MEMBERSHIP_OPTIONS,
  MembershipCore,
  GossipCore,
  type ListedEntryHost,
  type MembershipEffect,
  type MembershipMessage,
  type MembershipOptions,
  type GossipEffect,
  type GossipMessage,
} from '../src/index.js'

const STEP_MILLISECONDS = 100
const TICK_STEPS = 5
const HEARTBEAT_STEPS = 10

export interface SimulatedHost {
  readonly id: EntryHostId
  readonly zone: string
  readonly region: string
  readonly address: string
}

interface RunningHost {
  readonly host: SimulatedHost
  readonly membership: MembershipCore
  readonly gossip: GossipCore
  readonly links: Set<EntryHostId>
  neighbours: readonly EntryHostId[]
  stalled: boolean
}

export class FleetSimulation {
  readonly clock = new VirtualClock()
  /** Failures that hosts declared by their own detection, in order: `by` declared `host` failed. */
  readonly failureDeclarations: { readonly by: EntryHostId; readonly host: EntryHostId }[] = []
  readonly #options: MembershipOptions
  readonly #running = new Map<EntryHostId, RunningHost>()
  readonly #listed = new Map<EntryHostId, ListedEntryHost>()
  #cut: (left: SimulatedHost, right: SimulatedHost) => boolean = () => false
  #dropsRefutations = false
  #steps = 0

  constructor(options: Partial<MembershipOptions> = {}) {
    this.#options = { ...DEFAULT_MEMBERSHIP_OPTIONS, ...options }
  }

  list(host: SimulatedHost, state: 'live' | 'leaving' = 'live'): void {
    this.#listed.set(host.id, {
      kind: 'entryHost',
      id: host.id,
      address: host.address,
      port: 1,
      zone: availabilityZoneId(host.zone),
      region: regionId(host.region),
      state,
    })
    this.#sendHostList()
  }

  unlist(id: EntryHostId): void {
    this.#listed.delete(id)
    this.#sendHostList()
  }

  /** `bornAt` is the wall clock time that the host uses as its incarnation. */
  start(host: SimulatedHost, bornAt = 1): void {
    const self: Member = {
      entryHost: host.id,
      zone: availabilityZoneId(host.zone),
      region: regionId(host.region),
      address: host.address,
      port: 1,
      incarnation: incarnation(bornAt),
      status: 'alive',
    }
    const random = new SeededRandom(this.#running.size + 1)
    const membership = new MembershipCore(self, random, this.clock.now(), this.#options)
    const running = {
      host,
      membership,
      gossip: new GossipCore(),
      links: new Set<EntryHostId>(),
      neighbours: [],
      stalled: false,
    }
    this.#running.set(host.id, running)
    this.#handleGossip(running, { kind: 'learned', item: { kind: 'member', member: self } })
    this.#sendHostList()
  }

  /** The process dies; links to it break at once. */
  kill(id: EntryHostId): void {
    this.#running.delete(id)
    for (const other of this.#running.values()) this.#breakLink(other, id)
  }

  shutDown(id: EntryHostId): void {
    this.#handleMembership(this.#get(id), { kind: 'stop' })
    this.kill(id)
  }

  setStalled(id: EntryHostId, stalled: boolean): void {
    this.#get(id).stalled = stalled
  }

  cut(isCut: (left: SimulatedHost, right: SimulatedHost) => boolean): void {
    this.#cut = isCut
  }

  heal(): void {
    this.#cut = () => false
  }

  /** A faulty variant: refutations by hosts that were declared failed are not gossiped. */
  dropRefutations(): void {
    this.#dropsRefutations = true
  }

  /** Delivers a delayed gossip item to a host. */
  deliver(to: EntryHostId, member: Member): void {
    const from = entryHostId('late')
    const items = [{ kind: 'member', member } as const]
    this.#handleGossip(this.#get(to), { kind: 'batchReceived', peer: from, items })
  }

  membership(id: EntryHostId): MembershipCore {
    return this.#get(id).membership
  }

  /** Hosts that `viewer` considers alive, itself included. */
  aliveAt(viewer: EntryHostId): readonly string[] {
    return this.membership(viewer)
      .members()
      .filter(member => member.status === 'alive')
      .map(member => member.entryHost)
      .sort()
  }

  run(span: number): void {
    for (let passed = 0; passed < span; passed += STEP_MILLISECONDS) {
      this.clock.advance(STEP_MILLISECONDS)
      this.#steps += 1
      for (const [index, running] of [...this.#running.values()].entries()) {
        if (running.stalled) continue
        if ((this.#steps + index) % TICK_STEPS === 0)
          this.#handleMembership(running, { kind: 'tick' })
        const heartbeatSteps = HEARTBEAT_STEPS * running.membership.heartbeatIntervalMultiple
        if ((this.#steps + index) % heartbeatSteps === 0) this.#heartbeat(running)
      }
    }
  }

  #heartbeat(running: RunningHost): void {
    for (const peer of running.neighbours)
      if (!running.links.has(peer)) this.#connect(running, peer)
    for (const peer of running.links) {
      const other = this.#running.get(peer)
      if (other === undefined || !this.#reaches(running, other)) continue
      this.#receiveHeartbeat(other, running)
      this.#receiveHeartbeat(running, other)
    }
  }

  #receiveHeartbeat(receiver: RunningHost, sender: RunningHost): void {
    const peer = sender.host.id
    this.#handleMembership(receiver, { kind: 'heard', peer })
    this.#handleGossip(receiver, { kind: 'rootHeard', peer, root: sender.gossip.root })
  }

  #connect(running: RunningHost, peer: EntryHostId): void {
    const other = this.#running.get(peer)
    if (other === undefined) {
      this.#handleMembership(running, { kind: 'linkLost', peer })
      return
    }
    if (!this.#reaches(running, other)) return
    running.links.add(peer)
    other.links.add(running.host.id)
    this.#handleGossip(running, { kind: 'peerConnected', peer })
    this.#handleGossip(other, { kind: 'peerConnected', peer: running.host.id })
  }

  #breakLink(running: RunningHost, peer: EntryHostId): void {
    if (!running.links.delete(peer)) return
    this.#handleGossip(running, { kind: 'peerDisconnected', peer })
    this.#handleMembership(running, { kind: 'linkLost', peer })
  }

  #reaches(from: RunningHost, to: RunningHost): boolean {
    return !from.stalled && !to.stalled && !this.#cut(from.host, to.host)
  }

  #handleMembership(running: RunningHost, message: MembershipMessage): void {
    const effects = running.membership.handle(message, this.clock.now())
    for (const effect of effects) this.#applyMembershipEffect(running, effect)
  }

  #applyMembershipEffect(running: RunningHost, effect: MembershipEffect): void {
    if (effect.kind === 'spread') {
      const { member } = effect
      if (member.status === 'failed') {
        this.failureDeclarations.push({ by: running.host.id, host: member.entryHost })
      }
      const isRefutation = member.entryHost === running.host.id && member.status === 'alive'
      if (isRefutation && this.#dropsRefutations) return
      this.#handleGossip(running, { kind: 'learned', item: { kind: 'member', member } })
    }
    if (effect.kind === 'neighbours') running.neighbours = effect.hosts
    if (effect.kind === 'forget') running.gossip.forget(`member/${effect.host}`)
    if (effect.kind !== 'probe') return
    const helper = this.#running.get(effect.helper)
    const subject = this.#running.get(effect.subject)
    const helperReached = helper !== undefined && this.#reaches(running, helper)
    const reached = helperReached && subject !== undefined && this.#reaches(helper, subject)
    this.#handleMembership(running, { kind: 'probeAnswered', subject: effect.subject, reached })
  }

  #handleGossip(running: RunningHost, message: GossipMessage): void {
    for (const effect of running.gossip.handle(message)) this.#applyGossipEffect(running, effect)
  }

  #applyGossipEffect(running: RunningHost, effect: GossipEffect): void {
    if (effect.kind === 'changed') {
      if (effect.item.kind === 'member') {
        this.#handleMembership(running, { kind: 'news', member: effect.item.member })
      }
      return
    }
    const { peer } = effect
    const other = this.#running.get(peer)
    if (other === undefined || !this.#reaches(running, other)) {
      if (effect.kind === 'compare') this.#handleGossip(running, { kind: 'compareFailed', peer })
      if (effect.kind === 'fetch') this.#handleGossip(running, { kind: 'fetchEnded', peer })
      // The batch is lost: a real link is closed after a timeout, and digests are compared after it reconnects.
      if (effect.kind === 'sendBatch') this.#breakLink(running, peer)
      return
    }
    const self = running.host.id
    if (effect.kind === 'sendBatch') {
      this.#handleGossip(other, { kind: 'batchReceived', peer: self, items: effect.items })
      this.#handleGossip(running, { kind: 'batchTaken', peer })
    } else if (effect.kind === 'compare') {
      const found = other.gossip.differingVersions(effect.buckets)
      this.#handleGossip(running, { kind: 'compared', peer, versions: found })
    } else {
      this.#handleGossip(running, {
        kind: 'fetched',
        peer,
        items: other.gossip.itemsOf(effect.keys),
      })
      this.#handleGossip(running, { kind: 'fetchEnded', peer })
    }
  }

  #sendHostList(): void {
    const hosts = [...this.#listed.values()]
    for (const running of this.#running.values())
      this.#handleMembership(running, { kind: 'hostList', hosts })
  }

  #get(id: EntryHostId): RunningHost {
    const running = this.#running.get(id)
    if (running === undefined) throw new Error(`${id} is not running`)
    return running
  }
}
