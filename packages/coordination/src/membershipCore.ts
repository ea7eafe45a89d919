/**
 * One host's view of which entry hosts are alive. Each host monitors its direct neighbours by
 * heartbeat. Before a silent neighbour is declared failed, a few other hosts, its helpers, probe it
 * indirectly; only the host itself can refute the failure, with a newer incarnation.
 * Sans-I/O: takes one message and the time, returns effects.
 */
import {
  compareGossipVersions,
  gossipVersion,
  type Member,
  type GossipVersion,
} from '@nutmegcourse/protocol'
import {
  assertNever,
  incarnation,
  type EntryHostId,
  type Incarnation,
  type Milliseconds,
  type RandomSource,
} from '@nutmegcourse/shared'
import type {
  ListedEntryHost,
  MembershipChange,
  MembershipEffect,
  MembershipMessage,
} from './membershipMessages.js'
import { DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions } from './membershipOptions.js'
import { chooseNeighbours, type HostLocation } from './neighbours.js'
import { IndirectProbes } from './indirectProbes.js'

const LARGE_FLEET_HEARTBEAT_INTERVALS = 2

export class MembershipCore {
  readonly #options: MembershipOptions
  readonly #random: RandomSource
  readonly #members = new Map<EntryHostId, Member>()
  readonly #listed = new Map<EntryHostId, ListedEntryHost>()
  /** When the last message from each directly linked host arrived. */
  readonly #lastHeardAt = new Map<EntryHostId, Milliseconds>()
  readonly #unavailableSince = new Map<EntryHostId, Milliseconds>()
  readonly #indirectProbes: IndirectProbes
  readonly #startedAt: Milliseconds
  #self: Member
  #neighbours: readonly EntryHostId[] = []
  #neighboursOutdated = false
  #retriedHost: EntryHostId | null = null
  #retryAt: Milliseconds
  #lastTickAt: Milliseconds

  constructor(
    self: Member,
    random: RandomSource,
    now: Milliseconds,
    options: MembershipOptions = DEFAULT_MEMBERSHIP_OPTIONS,
  ) {
    this.#self = self
    this.#random = random
    this.#options = options
    this.#members.set(self.entryHost, self)
    this.#indirectProbes = new IndirectProbes(options.indirectProbeMilliseconds)
    this.#startedAt = now
    this.#lastTickAt = now
    this.#retryAt = now
  }

  /**
   * Number of heartbeat intervals between two heartbeats. In a large fleet heartbeats are most of the
   * control traffic, and half as many still detect a stalled host within ten seconds; the links of a
   * killed one break at once.
   */
  get heartbeatIntervalMultiple(): number {
    return this.#isLarge() ? LARGE_FLEET_HEARTBEAT_INTERVALS : 1
  }

  get self(): Member {
    return this.#self
  }

  /** All known hosts, alive or not. */
  members(): readonly Member[] {
    return [...this.#members.values()]
  }

  isAlive(host: EntryHostId): boolean {
    return this.#members.get(host)?.status === 'alive'
  }

  /**
   * Hosts that are assigned work: alive, and not marked as leaving in the host list. A host that has
   * just started knows no others yet. If it treated them as absent, it would take on the whole fleet's
   * work, including a connection to every backend server; until it has settled it relies on the list.
   */
  workers(now: Milliseconds): readonly HostLocation[] {
    const workers = this.members().filter(
      member =>
        member.status === 'alive' && this.#listed.get(member.entryHost)?.state !== 'leaving',
    )
    if (now - this.#startedAt >= this.#options.settlingMilliseconds) return workers
    return [...workers, ...this.#listedButUnknown()]
  }

  /**
   * Hosts whose proxies may send writes and can report on them: also those that are marked as
   * leaving, as they still have callers, but not those that failed.
   */
  writers(now: Milliseconds): readonly EntryHostId[] {
    const alive = this.members().filter(member => member.status === 'alive')
    const isSettled = now - this.#startedAt >= this.#options.settlingMilliseconds
    const hosts = isSettled ? alive : [...alive, ...this.#listedButUnknown()]
    return hosts.map(host => host.entryHost)
  }

  #listedButUnknown(): readonly HostLocation[] {
    return [...this.#listed.values()]
      .filter(host => host.state === 'live' && !this.#members.has(host.id))
      .map(({ id, zone, region }) => ({ entryHost: id, zone, region }))
  }

  /**
   * Hosts that may hold connections to backend servers. A host that is cut off keeps its connections,
   * so every listed host counts, reachable or not, and so does a live host that is not listed yet.
   */
  connectionHolders(): number {
    const holders = new Set<EntryHostId>(this.#listed.keys())
    for (const member of this.#members.values()) {
      if (member.status === 'alive') holders.add(member.entryHost)
    }
    return holders.size
  }

  /** The agent's address; the host list takes precedence, as its address is valid from this zone. */
  endpointOf(host: EntryHostId): { readonly address: string; readonly port: number } | null {
    return this.#listed.get(host) ?? this.#members.get(host) ?? null
  }

  handle(message: MembershipMessage, now: Milliseconds): readonly MembershipEffect[] {
    const retried = this.#retriedHost
    const effects = this.#dispatch(message, now)
    if (effects.some(effect => effect.kind === 'changed') || retried !== this.#retriedHost) {
      this.#neighboursOutdated = true
    }
    // In a large fleet changes arrive by the hundred when a host starts or a zone is cut off, and each
    // choice of neighbours iterates over all hosts, so it is recomputed once per tick.
    const isDue = message.kind === 'tick' || !this.#isLarge()
    return isDue && this.#neighboursOutdated ? [...effects, ...this.#updateNeighbours()] : effects
  }

  #isLarge(): boolean {
    const hosts = Math.max(this.#members.size, this.#listed.size)
    return hosts > this.#options.neighbours.fullMeshHosts + 1
  }

  #dispatch(message: MembershipMessage, now: Milliseconds): readonly MembershipEffect[] {
    switch (message.kind) {
      case 'hostList':
        return this.#updateHostList(message.hosts)
      case 'heard':
        this.#lastHeardAt.set(message.peer, now)
        this.#indirectProbes.close(message.peer)
        return []
      case 'linkLost':
        this.#lastHeardAt.delete(message.peer)
        return this.#startIndirectProbe(message.peer, now)
      case 'unlinked':
        this.#lastHeardAt.delete(message.peer)
        return []
      case 'news':
        return this.#receiveMember(message.member, now)
      case 'probeAnswered':
        return this.#probeAnswered(message.subject, message.reached, now)
      case 'tick':
        return this.#tick(now)
      case 'stop':
        return this.#stop()
      default:
        return assertNever(message)
    }
  }

  #updateHostList(hosts: readonly ListedEntryHost[]): readonly MembershipEffect[] {
    const effects: MembershipEffect[] = []
    const kept = new Set(hosts.map(host => host.id))
    for (const id of this.#listed.keys()) {
      if (kept.has(id)) continue
      this.#listed.delete(id)
      effects.push(changed('unlisted', id))
    }
    for (const host of hosts) {
      const known = this.#listed.get(host.id)
      this.#listed.set(host.id, host)
      if (known?.state !== host.state) effects.push(changed('listed', host.id))
    }
    return effects
  }

  #receiveMember(member: Member, now: Milliseconds): readonly MembershipEffect[] {
    if (member.entryHost === this.#self.entryHost) return this.#refute(member)
    const known = this.#members.get(member.entryHost)
    if (known !== undefined && compareGossipVersions(versionOf(member), versionOf(known)) <= 0) {
      return []
    }
    return this.#accept(member, now)
  }

  /**
   * Another host believes that this one failed, or a report on an earlier incarnation of it is still
   * in circulation. Without a refutation the fleet would take work away from a healthy host. A higher
   * incarnation outranks every report on lower ones, in whichever order they arrive.
   */
  #refute(reported: Member): readonly MembershipEffect[] {
    const own = this.#self
    const isOwnState = reported.status === own.status && reported.incarnation === own.incarnation
    if (reported.incarnation < own.incarnation || isOwnState || own.status === 'left') return []
    this.#self = { ...own, incarnation: nextIncarnation(reported.incarnation) }
    this.#members.set(own.entryHost, this.#self)
    return [{ kind: 'spread', member: this.#self }]
  }

  #accept(member: Member, now: Milliseconds): readonly MembershipEffect[] {
    const id = member.entryHost
    const former = this.#members.get(id)
    this.#members.set(id, member)
    if (member.status === 'alive') {
      this.#unavailableSince.delete(id)
      if (former === undefined) return [changed('joined', id)]
      return former.status === 'alive' ? [] : [changed('returned', id)]
    }
    this.#indirectProbes.close(id)
    if (!this.#unavailableSince.has(id)) this.#unavailableSince.set(id, now)
    return former?.status === member.status ? [] : [changed(member.status, id)]
  }

  /** The end of the settling time changes the set of workers. */
  #settlingChange(now: Milliseconds, lastTickAt: Milliseconds): readonly MembershipEffect[] {
    const end = this.#startedAt + this.#options.settlingMilliseconds
    return lastTickAt < end && now >= end ? [changed('settled', this.#self.entryHost)] : []
  }

  #tick(now: Milliseconds): readonly MembershipEffect[] {
    const { heartbeatIntervalMilliseconds, stallHeartbeats, retryIntervalMilliseconds } =
      this.#options
    const lastTickAt = this.#lastTickAt
    const gap = now - lastTickAt
    this.#lastTickAt = now
    if (gap > stallHeartbeats * heartbeatIntervalMilliseconds) this.#resetSilenceTimers(now)
    else this.#indirectProbes.postpone(Math.max(0, gap - heartbeatIntervalMilliseconds))
    if (now >= this.#retryAt) {
      this.#retriedHost = this.#pickHostToRetry()
      this.#retryAt = (now + retryIntervalMilliseconds) as Milliseconds
    }
    const effects = this.#silentPeers(now).flatMap(peer => this.#startIndirectProbe(peer, now))
    const unreachable = this.#indirectProbes.expired(now)
    return [
      ...this.#settlingChange(now, lastTickAt),
      ...effects,
      ...unreachable.flatMap(peer => this.#declareFailed(peer, now)),
      ...this.#forgetUnavailable(now),
    ]
  }

  /**
   * This process stalled and could receive no messages in that time. If the stall counted as silence
   * of the others, a resumed host would declare the whole fleet failed.
   */
  #resetSilenceTimers(now: Milliseconds): void {
    for (const peer of this.#lastHeardAt.keys()) this.#lastHeardAt.set(peer, now)
    this.#indirectProbes.clear()
  }

  #silentPeers(now: Milliseconds): readonly EntryHostId[] {
    const { heartbeatIntervalMilliseconds, silentHeartbeats } = this.#options
    const interval = heartbeatIntervalMilliseconds * this.heartbeatIntervalMultiple
    const timeout = interval * silentHeartbeats
    return [...this.#lastHeardAt].filter(([, at]) => now - at > timeout).map(([peer]) => peer)
  }

  #startIndirectProbe(subject: EntryHostId, now: Milliseconds): readonly MembershipEffect[] {
    if (!this.isAlive(subject) || this.#indirectProbes.isOpen(subject)) return []
    const helpers = this.#pickHelpers(subject, now)
    this.#indirectProbes.open(subject, helpers.length, now)
    return helpers.map(helper => ({ kind: 'probe', helper, subject }))
  }

  /**
   * Picks helpers that are not silent; one each from the own zone, the own region and other regions
   * comes first. In a partial partition a third location reaches both sides, and its probes keep the
   * two sides from repeatedly declaring each other failed.
   */
  #pickHelpers(subject: EntryHostId, now: Milliseconds): readonly EntryHostId[] {
    const silent = new Set(this.#silentPeers(now))
    const usable = [...this.#lastHeardAt.keys()].filter(
      peer => peer !== subject && !silent.has(peer) && this.isAlive(peer),
    )
    const shuffled = this.#shuffle(usable)
    const firstOfEachDistance = [0, 1, 2].flatMap(
      distance => shuffled.find(peer => this.#distanceTo(peer) === distance) ?? [],
    )
    const order = new Set([...firstOfEachDistance, ...shuffled])
    return [...order].slice(0, this.#options.helpers)
  }

  /** 0 within the zone, 1 within the region, 2 in another region. */
  #distanceTo(host: EntryHostId): number {
    const member = this.#members.get(host)
    if (member?.region !== this.#self.region) return 2
    return member.zone === this.#self.zone ? 0 : 1
  }

  #probeAnswered(
    subject: EntryHostId,
    reached: boolean,
    now: Milliseconds,
  ): readonly MembershipEffect[] {
    if (!this.#indirectProbes.isOpen(subject)) return []
    if (reached) {
      this.#indirectProbes.close(subject)
      // The subject is alive, though this host receives nothing from it. It is probed again after
      // another silence.
      if (this.#lastHeardAt.has(subject)) this.#lastHeardAt.set(subject, now)
      return []
    }
    if (!this.#indirectProbes.recordFailure(subject)) return []
    return this.#declareFailed(subject, now)
  }

  #declareFailed(host: EntryHostId, now: Milliseconds): readonly MembershipEffect[] {
    const member = this.#members.get(host)
    if (member?.status !== 'alive') return []
    const failed: Member = { ...member, status: 'failed' }
    return [...this.#accept(failed, now), { kind: 'spread', member: failed }]
  }

  #forgetUnavailable(now: Milliseconds): readonly MembershipEffect[] {
    const effects: MembershipEffect[] = []
    for (const [host, since] of this.#unavailableSince) {
      if (now - since < this.#options.forgetMilliseconds || this.#listed.has(host)) continue
      this.#unavailableSince.delete(host)
      this.#members.delete(host)
      effects.push({ kind: 'forget', host })
    }
    return effects
  }

  #stop(): readonly MembershipEffect[] {
    this.#self = { ...this.#self, status: 'left' }
    this.#members.set(this.#self.entryHost, this.#self)
    return [{ kind: 'spread', member: this.#self }]
  }

  #pickHostToRetry(): EntryHostId | null {
    const unavailable = [...this.#listed.keys()].filter(
      id => id !== this.#self.entryHost && !this.isAlive(id),
    )
    return this.#shuffle(unavailable)[0] ?? null
  }

  #updateNeighbours(): readonly MembershipEffect[] {
    this.#neighboursOutdated = false
    const candidates = this.#neighbourCandidates()
    const chosen = new Set(chooseNeighbours(this.#self, candidates, this.#options.neighbours))
    if (this.#retriedHost !== null) chosen.add(this.#retriedHost)
    const hosts = [...chosen].sort()
    if (isSameList(hosts, this.#neighbours)) return []
    this.#neighbours = hosts
    return [{ kind: 'neighbours', hosts }]
  }

  /** In a small fleet all hosts, as failed ones may return; in a large one only the live hosts. */
  #neighbourCandidates(): readonly HostLocation[] {
    const known = new Map<EntryHostId, HostLocation>()
    for (const [id, { zone, region }] of this.#listed) {
      known.set(id, { entryHost: id, zone, region })
    }
    for (const member of this.#members.values()) {
      if (member.status === 'alive') known.set(member.entryHost, member)
    }
    known.delete(this.#self.entryHost)
    const allHosts = [...known.values()]
    if (allHosts.length <= this.#options.neighbours.fullMeshHosts) return allHosts
    const alive = allHosts.filter(host => this.isAlive(host.entryHost))
    // A host that has just started knows no live hosts yet, so it starts from the list.
    return alive.length > 0 ? alive : allHosts
  }

  #shuffle<Value>(values: readonly Value[]): readonly Value[] {
    return values
      .map(value => ({ value, order: this.#random.next() }))
      .sort((left, right) => left.order - right.order)
      .map(({ value }) => value)
  }
}

const versionOf = (member: Member): GossipVersion => gossipVersion({ kind: 'member', member })

const changed = (change: MembershipChange, host: EntryHostId): MembershipEffect => ({
  kind: 'changed',
  change,
  host,
})

const nextIncarnation = (known: Incarnation): Incarnation => incarnation(known + 1)

function isSameList(left: readonly EntryHostId[], right: readonly EntryHostId[]): boolean {
  return left.length === right.length && left.every((id, index) => id === right[index])
}
