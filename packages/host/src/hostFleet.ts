/**
 * The entry hosts that run: who of them holds connections to which service, and the ways to them.
 *
 * @internal
 */
import {
  followersBefore,
  limitHoldersFrom,
  ownersForCustomer,
  ownersFrom,
  planFollowers,
  planLimitHolders,
  planOwners,
  type HostRecord,
  type OwnerPlan,
} from '@nutmegcourse/coordination'
import type { HostAddress } from '@nutmegcourse/protocol'
import {
  addMilliseconds,
  milliseconds,
  regionId,
  type CustomerName,
  type Milliseconds,
  type RegionId,
} from '@nutmegcourse/shared'
import { connectionHolders } from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import { Pauses } from './pauses.js'
import { RelayPeer } from './relayPeer.js'
import type { OwnerBook } from './relayingRunner.js'
import type { ServiceDesk } from './serviceDesk.js'
import type { ChangeFeedSources } from './zoneNews.js'

/** Hosts register again within a second of hearing that the store was restored; news of it takes some more. */
const RE_REGISTRATION_MILLISECONDS = 8000

/** Hosts that are asked to reach a primary which this one does not, and the pause when none could. */
const MAX_INDIRECT_PEERS = 6
const INDIRECT_PAUSE_MILLISECONDS = 150

/**
 * How many hosts at least are asked for their view of a primary that an owner finds silent. A cut
 * that leaves a third of nine hosts outside leaves three that can agree; with three owners alone it
 * left one, which waited for seconds lest it be the one that is cut off.
 */
const MIN_OBSERVERS = 9

export class HostFleet implements OwnerBook, ChangeFeedSources {
  readonly #context: HostContext
  readonly #hosts = new Map<string, HostRecord>()
  readonly #peers = new Map<string, RelayPeer>()
  /** By service: who says whether its primary lives. The owners, and others where they are few. */
  readonly #observers = new Map<string, readonly string[]>()
  /** By service: whom this host asks to run statements, in order. */
  readonly #hostOrder = new Map<string, readonly string[]>()
  /** By service: who owns it, and by service and customer: in which order the owners are asked. */
  readonly #ownerPlans = new Map<string, OwnerPlan>()
  readonly #customerOrder = new Map<string, readonly string[]>()
  /** By customer: who holds the parts of its limit, in the order in which this host asks them. */
  readonly #limitHolders = new Map<CustomerName, readonly string[]>()
  /** By service: what the last line said. */
  readonly #loggedOwners = new Map<string, string>()
  /** Hosts whose records a restored store has lost. */
  readonly #missingHosts = new Set<string>()
  #reRegistrationDeadline = milliseconds(0)
  /** Services whose primary nobody reached when others were last asked. */
  readonly #indirectPauses: Pauses<string>
  /** Through whom this host follows the store, in order. */
  #changeFeedHosts: readonly string[] = []
  /** Whether the plans are of the hosts and services that are known. */
  #isPlanned = false

  constructor(context: HostContext) {
    this.#context = context
    this.#indirectPauses = new Pauses(context.clock)
  }

  observersOf(service: string): readonly string[] {
    return this.#observers.get(service) ?? []
  }

  /**
   * A host registered, or its record is gone. Its connection stays unless it moved: one that stops or
   * whose lease lapsed still runs what it was handed, and one that is gone shows by its silence. Closing it
   * made the outcome of every write that ran there unknown.
   */
  receiveHostRecord(host: string, record: HostRecord | null): void {
    this.#isPlanned = false
    this.#missingHosts.delete(host)
    if (record === null) this.#hosts.delete(host)
    else this.#hosts.set(host, record)
    const address = record === null ? null : relayAddress(record)
    if (address !== null && this.#peers.get(host)?.isAt(address) === false) this.#dropPeer(host)
  }

  /** A whole list was read: hosts that it does not name are gone. */
  keepOnly(isListed: (host: string) => boolean): void {
    for (const host of this.#hosts.keys()) if (!isListed(host)) this.receiveHostRecord(host, null)
  }

  /** The same for the list of a restored store: hosts write their records again, and are gone only if they do not. */
  awaitReRegistration(isListed: (host: string) => boolean, now: Milliseconds): void {
    this.#reRegistrationDeadline = addMilliseconds(now, RE_REGISTRATION_MILLISECONDS)
    this.#missingHosts.clear()
    for (const host of this.#hosts.keys()) if (!isListed(host)) this.#missingHosts.add(host)
  }

  /** Drops hosts that did not return; true when there were any. */
  #dropMissingHosts(now: Milliseconds): boolean {
    if (this.#missingHosts.size === 0 || now < this.#reRegistrationDeadline) return false
    for (const host of this.#missingHosts) this.receiveHostRecord(host, null)
    this.#missingHosts.clear()
    return true
  }

  /** What services there are has changed. */
  servicesChanged(): void {
    this.#isPlanned = false
  }

  /**
   * Works out who holds connections to what, from the hosts that are known to run, if they or the services have
   * changed. Once for all that was heard at a time: one plan takes draws in proportion to hosts times services.
   */
  plan(services: Iterable<ServiceDesk>): void {
    if (this.#isPlanned) return
    this.#isPlanned = true
    const { entryHost, zone, region, requiresKeys } = this.#context.settings
    this.#customerOrder.clear()
    this.#limitHolders.clear()
    this.#changeFeedHosts = followersBefore(planFollowers(zone, this.#hosts), entryHost)
    for (const service of services) {
      const { connectionLimit } = service.configuration
      const holders = connectionHolders(connectionLimit, this.#hosts.size, requiresKeys)
      const drawn = planOwners(service.name, this.#hosts, Math.max(holders, MIN_OBSERVERS))
      // The first of one draw are what a draw of fewer gives.
      const plan = { ...drawn, owners: drawn.owners.slice(0, holders) }
      const { owners: observers } = drawn
      this.#ownerPlans.set(service.name, plan)
      this.#observers.set(service.name, observers)
      this.#hostOrder.set(
        service.name,
        ownersFrom(plan, entryHost, { zone, region, relay: null, weight: 1 }),
      )
      // Before this host is listed itself it serves by itself: it knows too little to rely on others.
      service.isOwned = !this.#hosts.has(entryHost) || plan.owners.includes(entryHost)
      service.holders = service.isOwned ? holders : Math.max(holders, this.#substituteCount)
      service.holdersByRegion = countByRegion(plan)
      service.isObserved = service.isOwned || observers.includes(entryHost)
      this.#logOwners(service, plan.owners)
    }
  }

  /**
   * Hosts that may serve in an owner's place at once: one in each availability zone. Each as if it were the
   * only holder, three took 5 of 12 connections each, so that other zones got none, and neither did the
   * owner when it was back, until those had rested for seconds.
   */
  get #substituteCount(): number {
    return new Set([...this.#hosts.values()].map(({ zone }) => zone)).size
  }

  #logOwners({ name, isOwned }: ServiceDesk, owners: readonly string[]): void {
    const plan = `${[...owners].sort().join(' ')} ${String(isOwned)}`
    if (this.#loggedOwners.get(name) === plan) return
    this.#loggedOwners.set(name, plan)
    const { log } = this.#context
    log.write('owners_planned', { service: name, hosts: this.#hosts.size, owners, isOwned })
  }

  changeFeedSources(): readonly RelayPeer[] {
    return this.#changeFeedHosts.flatMap(host => this.peer(host) ?? []).filter(peer => peer.isUp)
  }

  peersFor(
    service: ServiceDesk,
    customer: CustomerName | null,
    atPrimary: boolean,
  ): RelayPeer[] | null {
    const now = this.#context.clock.now()
    const isHere = service.isOwned && (!atPrimary || service.reachesPrimary(now))
    const order = this.#hostOrderFor(service, customer)
    if (isHere) return this.#ownersBefore(order)
    const peers = this.#upPeers(order)
    if (service.isOwned) return this.#indirectPeers(service, peers, now)
    if (peers.length > 0) return peers
    service.standIn(now)
    return null
  }

  /** Whom to ask, in order; this host stands in its own place if it is an owner of the customer's connections. */
  #hostOrderFor({ name }: ServiceDesk, customer: CustomerName | null): readonly string[] {
    const order = this.#hostOrder.get(name) ?? []
    const plan = this.#ownerPlans.get(name)
    if (customer === null || plan === undefined) return order
    const subject = `${name} ${customer}`
    const known = this.#customerOrder.get(subject)
    if (known !== undefined) return known
    const owners = ownersForCustomer(plan, name, customer, this.#context.settings)
    const others = order.filter(host => !owners.includes(host))
    const made = [...owners, ...others]
    this.#customerOrder.set(subject, made)
    return made
  }

  /** Owners that come before this host, which is one of them; null when none does. */
  #ownersBefore(order: readonly string[]): RelayPeer[] | null {
    const own = order.indexOf(this.#context.settings.entryHost)
    const peers = this.#upPeers(order.slice(0, Math.max(0, own)))
    return peers.length === 0 ? null : peers
  }

  #upPeers(order: readonly string[]): RelayPeer[] {
    const { entryHost } = this.#context.settings
    return order
      .filter(host => host !== entryHost)
      .flatMap(host => this.peer(host) ?? [])
      .filter(peer => peer.isUp)
  }

  limitHolders(customer: CustomerName): readonly string[] {
    const known = this.#limitHolders.get(customer)
    if (known !== undefined) return known
    const { settings } = this.#context
    const drawn = planLimitHolders(customer, this.#hosts)
    const holders = limitHoldersFrom(drawn, this.#hosts, settings.entryHost, settings)
    this.#limitHolders.set(customer, holders)
    return holders
  }

  /**
   * This host does not reach the primary; others may. A few of them are asked, and when none does,
   * nobody is asked again for a moment: then the primary is gone, and each statement would pay for it.
   */
  #indirectPeers(
    service: ServiceDesk,
    peers: readonly RelayPeer[],
    now: Milliseconds,
  ): RelayPeer[] | null {
    const isPaused = this.#indirectPauses.left(service.name) > 0
    const hasHelped = now - service.reachedThroughOthersAt < INDIRECT_PAUSE_MILLISECONDS
    if (peers.length === 0 || (isPaused && !hasHelped)) return null
    this.#indirectPauses.begin(service.name, INDIRECT_PAUSE_MILLISECONDS)
    return peers.slice(0, MAX_INDIRECT_PEERS)
  }

  /** Whether statements run at other hosts. */
  get hasPendingWork(): boolean {
    return [...this.#peers.values()].some(peer => peer.isOwedAnswers)
  }

  /** True when the fleet has changed by time alone, and has to be planned anew. */
  tick(now: Milliseconds): boolean {
    for (const [host, peer] of this.#peers) {
      const isGone = !this.#hosts.has(host) && peer.isLost && !peer.isOwedAnswers
      if (isGone) this.#dropPeer(host)
      else peer.tick(now)
    }
    return this.#dropMissingHosts(now)
  }

  close(): void {
    for (const peer of this.#peers.values()) peer.close()
  }

  #dropPeer(host: string): void {
    this.#peers.get(host)?.close()
    this.#peers.delete(host)
  }

  /** The way to another host; null for one that is not known or runs nothing for others. */
  peer(host: string): RelayPeer | null {
    const known = this.#peers.get(host)
    if (known !== undefined) return known
    const record = this.#hosts.get(host)
    const address = record === undefined ? null : relayAddress(record)
    if (address === null) return null
    const peer = new RelayPeer(this.#context, host, address)
    this.#peers.set(host, peer)
    return peer
  }
}

function countByRegion({ owners, hosts }: OwnerPlan): Map<RegionId, number> {
  const counts = new Map<RegionId, number>()
  for (const owner of owners) {
    const region = hosts.get(owner)?.region
    if (region === undefined) continue
    const key = regionId(region)
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return counts
}

/** Where a host runs statements for others; null when it does not. */
function relayAddress({ relay }: HostRecord): HostAddress | null {
  const [host = '', port = ''] = relay?.split(':') ?? []
  return host === '' || port === '' ? null : { host, port: Number(port) }
}
