/** Executes a fault plan: starts each fault at its time and ends it after its duration. Faults may overlap. */
import { setTimeout as delay } from 'node:timers/promises'
import type { BackendCommand } from '@nutmegcourse/protocol'
import type { CommandFault, MemoryServer } from '@nutmegcourse/stand-ins'
import type { RandomSource } from '@nutmegcourse/shared'
import { ChangeFaultInjector } from './changeFaultInjector.js'
import { awaitClaimHolder } from './claimWatch.js'
import { isChangeFault } from './changeFaults.js'
import { keepsFromStore, overlapKey } from './faultEffects.js'
import type { Fault, PlannedFault } from './faultPlan.js'
import { PLANNED_KINDS, STORE } from './faultPlan.js'
import { FAULT_AFTERMATH_MILLISECONDS, LeaderlessGroups } from './leaderlessGroups.js'
import { starve, type Starvation } from './starvation.js'
import { FaultTrace } from './faultTrace.js'
import type { SoakFleet } from './soakFleet.js'

/** The share of a server's answers that an `answersLost` fault drops. */
const LOST_ANSWER_SHARE = 0.15

/** The delay between the two stop signals; the host is closing its sessions at that time. */
const SECOND_SIGNAL_MILLISECONDS = 400

const ROLE_CHECK_MILLISECONDS = 20

export class FaultInjector {
  readonly #fleet: SoakFleet
  readonly #random: RandomSource
  /** The number of active faults by overlap key; the effect ends with the last of them. */
  readonly #activeCounts = new Map<string, number>()
  readonly #serversLosingAnswers = new Set<string>()
  readonly #roleTimer: NodeJS.Timeout
  readonly #trace: FaultTrace
  /** The primary of each service that was traced last. */
  readonly #tracedPrimaries = new Map<string, string>()
  readonly #leaderlessGroups = new LeaderlessGroups()
  readonly #changes: ChangeFaultInjector
  /** The number of started faults by kind. */
  readonly faultCounts = new Map<string, number>()
  /** When each fault ended. */
  readonly #faults: { readonly fault: Fault; readonly isPlanned: boolean; until: number }[] = []
  readonly #starvations = new Map<string, Starvation>()

  constructor(fleet: SoakFleet, random: RandomSource) {
    this.#fleet = fleet
    this.#random = random
    this.#trace = new FaultTrace(fleet.plan.directory)
    this.#changes = new ChangeFaultInjector(fleet, random, this.#trace, planned =>
      this.#applyFault(planned),
    )
    this.#fleet.dialer.hooks.onCommand = (server, command) => this.#commandFaultOf(server, command)
    this.#roleTimer = setInterval(() => {
      fleet.updateServerRoles()
      this.#tracePrimaries()
      this.#observePrimaries()
    }, ROLE_CHECK_MILLISECONDS)
  }

  async run(plan: readonly PlannedFault[]): Promise<void> {
    const startedAt = performance.now()
    await Promise.all(
      plan.map(async planned => {
        await delay(Math.max(0, planned.startsAtMilliseconds - (performance.now() - startedAt)))
        await this.#applyFault(planned)
      }),
    )
    await this.#changes.lateOrders.settled()
  }

  close(): void {
    for (const starvation of this.#starvations.values()) starvation.end()
    clearInterval(this.#roleTimer)
    this.#trace.close()
  }

  /** Whether an unplanned fault was active at or after `time`. */
  hadUnplannedFaultSince(time: number): boolean {
    return (
      this.#changes.lateOrders.werePendingSince(time) ||
      this.#faults.some(({ isPlanned, until }) => !isPlanned && until >= time)
    )
  }

  /** Whether the group of the service was without a primary that it had lost to faults at or after `time`. */
  wasLeaderlessSince(service: string, time: number): boolean {
    this.#observePrimaries()
    return this.#leaderlessGroups.wasLeaderlessSince(service, time)
  }

  /** Whether any fault was active at or after `time`. */
  hadFaultSince(time: number): boolean {
    return (
      this.#changes.lateOrders.werePendingSince(time) ||
      this.#faults.some(({ until }) => until >= time)
    )
  }

  /** The end of the last fault since `since` in which the host could not follow the store, by itself or through others. */
  excusedUntil(host: string, since: number): number {
    const ends = this.#faults
      .filter(({ fault, until }) => until >= since && keepsFromStore(fault, host))
      .map(({ until }) => until)
    return Math.max(Number.NEGATIVE_INFINITY, ...ends)
  }

  /** A server that another fault has stopped is started by the end of that fault. */
  #recover(server: string): void {
    if (this.#changes.isStopped(server)) return
    this.#fleet.recoverServer(server)
  }

  #tracePrimaries(): void {
    for (const group of this.#fleet.groups) {
      const primary = group.currentPrimary
      const seen = `${primary?.id ?? 'none'} in term ${String(primary?.term)}`
      if (this.#tracedPrimaries.get(group.service) === seen) continue
      this.#tracedPrimaries.set(group.service, seen)
      this.#trace.write('primary', { service: group.service, primary: seen })
    }
  }

  #observePrimaries(): void {
    const now = performance.now()
    const isAmidFaults = this.hadUnplannedFaultSince(now - FAULT_AFTERMATH_MILLISECONDS)
    for (const { service, currentPrimary } of this.#fleet.groups) {
      this.#leaderlessGroups.observe(service, currentPrimary !== null, isAmidFaults, now)
    }
  }

  async #applyFault(planned: PlannedFault): Promise<void> {
    const { fault: drawn, durationMilliseconds, onClaim } = planned
    if (onClaim !== undefined) {
      const { store } = this.#fleet
      if ((await awaitClaimHolder(store, onClaim.service)) === null) return
      await delay(onClaim.afterMilliseconds)
    }
    const fault = this.#changes.resolve(drawn)
    this.faultCounts.set(fault.kind, (this.faultCounts.get(fault.kind) ?? 0) + 1)
    const isPlanned = PLANNED_KINDS.includes(fault.kind)
    const record = { fault, isPlanned, until: Number.POSITIVE_INFINITY }
    this.#faults.push(record)
    this.#trace.write('fault_begins', { ...fault, durationMilliseconds })
    await this.#begin(fault)
    await delay(durationMilliseconds)
    await this.#end(fault)
    this.#trace.write('fault_ended', { ...fault })
    record.until = performance.now()
  }

  async #begin(fault: Fault): Promise<void> {
    if (!this.#activate(fault)) return
    if (isChangeFault(fault)) return this.#changes.begin(fault)
    const { relay, store } = this.#fleet
    switch (fault.kind) {
      case 'hostKilled':
        this.#fleet.host(fault.host).signal('SIGKILL')
        return
      case 'hostFrozen':
        this.#fleet.host(fault.host).signal('SIGSTOP')
        return
      case 'hostStopped':
        await this.#fleet.host(fault.host).stop()
        return
      case 'hostStoppedTwice':
        await this.#fleet.host(fault.host).stop(SECOND_SIGNAL_MILLISECONDS)
        return
      case 'hostReloaded':
        this.#fleet.host(fault.host).reload()
        return
      case 'cut':
        relay.cut({ from: [fault.from], to: [fault.host], cut: true, oneWay: fault.oneWay })
        return
      case 'reset':
        relay.reset({ from: [fault.from], to: [fault.host] })
        return
      case 'silenced':
        relay.silence({ from: [fault.from], to: [fault.host] })
        return
      case 'serverCrashed':
        this.#fleet.crashServer(fault.server)
        return
      case 'serverSilent':
        this.#server(fault.server).isSilent = true
        return
      case 'replicaDeaf':
        this.#server(fault.server).isReplicationBlocked = true
        return
      case 'serverLeaves':
        this.#fleet.updateServerEntry(fault.server, true)
        return
      case 'answersLost':
        this.#serversLosingAnswers.add(fault.server)
        return
      case 'serverStutters':
      case 'serverStuttersTwice':
      case 'answersCutOff':
        this.#fleet.stutters.begin(fault)
        return
      case 'storeAway':
        for (const { plan } of this.#fleet.hosts) {
          relay.cut({ from: [STORE], to: [plan.name], cut: true, oneWay: false })
        }
        return
      case 'storeLosesAnswers':
        this.#fleet.dropsStoreAnswers = true
        return
      case 'storeForgetsHistory':
        store.compact()
        return
      case 'configurationChanged':
        this.#fleet.publishConfiguration()
        return
      case 'storeTurnsAway':
        this.#fleet.setStoreResponse(fault.host, fault.response)
        return
      case 'storeLate':
        this.#fleet.storeDelayMilliseconds = fault.delayMilliseconds
        return
      case 'hostStarved':
        this.#starve(fault.host, () => undefined)
        return
      case 'hostStarvedAndSilenced':
        this.#starve(fault.host, () => {
          relay.silence({ from: [STORE], to: [fault.host] })
        })
    }
  }

  #starve(host: string, silence: () => void): void {
    // A process that stops needs its turns, or it would never end.
    const isFrozen = (): boolean =>
      this.#faults.some(
        ({ fault, until }) =>
          fault.kind === 'hostFrozen' && fault.host === host && !Number.isFinite(until),
      )
    this.#starvations.get(host)?.end()
    this.#starvations.set(host, starve(this.#fleet.host(host), { isFrozen, silence }))
  }

  async #end(fault: Fault): Promise<void> {
    if (!this.#deactivate(fault)) return
    if (isChangeFault(fault)) return this.#changes.end(fault)
    const { relay } = this.#fleet
    switch (fault.kind) {
      case 'hostKilled':
      case 'hostStopped':
      case 'hostStoppedTwice':
      case 'hostFrozen': {
        // The end of the last fault of a process undoes the effects of all of them, whatever their kinds.
        const host = this.#fleet.host(fault.host)
        host.signal('SIGCONT')
        host.start()
        await host.waitUntilReady()
        return
      }
      case 'cut':
        relay.cut({ from: [fault.from], to: [fault.host], cut: false, oneWay: false })
        return
      case 'serverCrashed':
        this.#recover(fault.server)
        return
      case 'serverSilent':
        this.#server(fault.server).isSilent = false
        this.#recover(fault.server)
        return
      case 'replicaDeaf':
        this.#server(fault.server).isReplicationBlocked = false
        return
      case 'serverLeaves':
        this.#fleet.updateServerEntry(fault.server, false)
        return
      case 'answersLost':
        this.#serversLosingAnswers.delete(fault.server)
        return
      case 'serverStutters':
      case 'serverStuttersTwice':
      case 'answersCutOff':
        this.#fleet.stutters.end(fault)
        return
      case 'storeAway':
        for (const { plan } of this.#fleet.hosts) {
          relay.cut({ from: [STORE], to: [plan.name], cut: false, oneWay: false })
        }
        return
      case 'storeLosesAnswers':
        this.#fleet.dropsStoreAnswers = false
        return
      case 'storeTurnsAway':
        this.#fleet.setStoreResponse(fault.host, null)
        return
      case 'storeLate':
        this.#fleet.storeDelayMilliseconds = 0
        return
      case 'hostStarved':
      case 'hostStarvedAndSilenced':
        this.#starvations.get(fault.host)?.end()
        return
      case 'hostReloaded':
      case 'reset':
      case 'silenced':
      case 'storeForgetsHistory':
      case 'configurationChanged':
        return
    }
  }

  #server(id: string): MemoryServer {
    return this.#fleet.server(id)
  }

  #commandFaultOf(server: string, command: BackendCommand): CommandFault {
    const change = this.#changes.commandFaultOf(server, command)
    if (change !== 'none') return change
    if (!this.#serversLosingAnswers.has(server) || this.#random.next() >= LOST_ANSWER_SHARE)
      return 'none'
    return this.#random.next() < 0.5 ? 'lostAfter' : 'cutAfter'
  }

  /** Returns true if no other fault with the same overlap key is active. */
  #activate(fault: Fault): boolean {
    const key = overlapKey(fault)
    const activeCount = this.#activeCounts.get(key) ?? 0
    this.#activeCounts.set(key, activeCount + 1)
    return activeCount === 0
  }

  /** Returns true if this was the last active fault with its overlap key. */
  #deactivate(fault: Fault): boolean {
    const key = overlapKey(fault)
    const activeCount = (this.#activeCounts.get(key) ?? 1) - 1
    this.#activeCounts.set(key, activeCount)
    return activeCount === 0
  }
}
