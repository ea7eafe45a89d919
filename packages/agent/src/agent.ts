/** One entry host's agent: puts the tasks together and passes what one learns to the others. */
import type { Server } from 'node:net'
import {
  WatcherPlan,
  type FailoverEvent,
  type FailoverMachine,
  type Watcher,
} from '@nutmegcourse/coordination'
import type {
  AgentStatusResult,
  AgentUsageResult,
  ListedHost,
  Member,
  GossipItem,
  ProxyReport,
} from '@nutmegcourse/protocol'
import type { AgentSettings } from '@nutmegcourse/settings'
import {
  SystemClock,
  SystemRandom,
  assertNever,
  databaseId,
  incarnation,
  type DatabaseId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import { HostListClient, StoreClient, listen } from '@nutmegcourse/transport'
import type { Log, Metrics } from '@nutmegcourse/observability'
import { restoreTargets } from './configurationStore.js'
import { DatabaseWatch } from './databaseWatch.js'
import { EventLog } from './eventLog.js'
import { FleetTask } from './fleetTask.js'
import { GroupRecordStore } from './groupRecordStore.js'
import { HostListPoll } from './hostListPoll.js'
import { KnownHosts } from './knownHosts.js'
import { ProxyServer } from './proxyServer.js'
import { describeStatus, describeUsage, type ReportedParts } from './agentReport.js'
import { buildSnapshot } from './routingSnapshot.js'
import { Coalescer } from './coalescer.js'
import { StoreFollower } from './storeFollower.js'
import { toolHandlers } from './toolHandlers.js'
import { WatchBoard } from './watchBoard.js'
import { watchPace, type WatchPace } from './watchPace.js'

/** Makes the failover machine of one database. */
export type MachineFactory = (
  database: DatabaseId,
  self: Watcher,
  pace: WatchPace,
) => FailoverMachine

/** Changes that come together, as when a zone fails, are planned and published together. */
const PLAN_DELAY_MILLISECONDS = 50
const SNAPSHOT_DELAY_MILLISECONDS = 2
/** Time for the word that this host stops to reach its neighbours. */
const FAREWELL_MILLISECONDS = 200
/** In each zone so many hosts follow the store for all: one may fail or be frozen unnoticed. */
const STORE_FOLLOWERS_PER_ZONE = 2
/** A host whose targets nobody confirms for so long follows the store itself. */
const FOLLOW_ALONE_AFTER_MILLISECONDS = 5000
const FOLLOW_CHECK_MILLISECONDS = 1000
/** In a large fleet a host that begins gets the state from a neighbour, not from the store. */
const LARGE_FLEET_HOSTS = 12
const PEERS_FIRST_MILLISECONDS = 3000

export class Agent {
  readonly #settings: AgentSettings
  readonly #log: Log
  readonly #metrics: Metrics
  readonly #makeMachine: MachineFactory
  readonly #clock = new SystemClock()
  readonly #hosts = new KnownHosts()
  readonly #store: StoreClient
  readonly #hostList: HostListClient
  readonly #poll: HostListPoll
  readonly #follower: StoreFollower
  readonly #proxies: ProxyServer
  readonly #events: EventLog
  readonly #board: WatchBoard
  readonly #plan = new Coalescer(PLAN_DELAY_MILLISECONDS, () => {
    this.#planWatches()
  })
  readonly #publication = new Coalescer(SNAPSHOT_DELAY_MILLISECONDS, () => {
    this.#publish()
  })
  #fleet: FleetTask | null = null
  #server: Server | null = null
  #followCheck: NodeJS.Timeout | undefined
  #sequence = 0
  #publishedHolders = 0
  #startedAt: Milliseconds = this.#clock.now()

  constructor(settings: AgentSettings, log: Log, metrics: Metrics, makeMachine: MachineFactory) {
    this.#settings = settings
    this.#log = log
    this.#metrics = metrics
    this.#makeMachine = makeMachine
    const { store, hostList, storeTimeoutMilliseconds } = settings
    this.#store = new StoreClient(store, storeTimeoutMilliseconds, (method, outcome) => {
      metrics.count('store.call', { method, outcome })
    })
    this.#hostList = new HostListClient(hostList, storeTimeoutMilliseconds)
    this.#poll = new HostListPoll({
      client: this.#hostList,
      zone: settings.zone,
      intervalMilliseconds: settings.hostListIntervalMilliseconds,
      onChange: hosts => {
        this.#hostsListed(hosts)
      },
    })
    this.#follower = new StoreFollower(this.#store, this.#clock, {
      learned: item => {
        this.#fleet?.learn(item)
      },
      targetsRead: (document, revision, askedAt) => {
        this.#fleet?.tellConfiguration({ kind: 'storeAnswered', document, revision, askedAt })
      },
      unreadable: key => {
        log.error('a value of the store can not be read', { key })
      },
    })
    this.#proxies = new ProxyServer(report => {
      this.#proxyReported(report)
    })
    this.#events = new EventLog(settings.entryHost)
    this.#board = new WatchBoard({
      self: settings.entryHost,
      startWatch: (database, pace) => this.#startWatch(database, pace),
      paceFor: servers => watchPace(settings, servers, this.#hosts.entryHosts.length),
      recordOf: database => this.#recordOf(database),
      onPartners: partners => {
        this.#fleet?.setPartners(partners)
      },
    })
  }

  async start(): Promise<{ readonly listen: number; readonly proxyListen: number }> {
    const { listen: place, proxyListen } = this.#settings
    const listening = await listen(place.address, place.port, socket => {
      this.#fleet?.network.accept(socket)
    })
    this.#server = listening.server
    const proxyPort = await this.#proxies.start(proxyListen.address, proxyListen.port)
    this.#fleet = this.#startFleet(listening.port)
    await this.#poll.start()
    this.#startedAt = this.#clock.now()
    this.#checkFollowing()
    this.#publication.request()
    return { listen: listening.port, proxyListen: proxyPort }
  }

  async stop(): Promise<void> {
    clearInterval(this.#followCheck)
    this.#poll.close()
    this.#board.close()
    this.#fleet?.leave()
    await new Promise(resolve => {
      setTimeout(resolve, FAREWELL_MILLISECONDS)
    })
    this.#plan.close()
    this.#publication.close()
    this.#follower.follow(false)
    this.#fleet?.close()
    this.#proxies.close()
    this.#server?.close()
    this.#store.close()
    this.#hostList.close()
    this.#metrics.close()
  }

  /** What this agent costs, for operators and measurements. */
  usage(): AgentUsageResult {
    return describeUsage(this.#reported)
  }

  status(): AgentStatusResult {
    return describeStatus(this.#reported, this.#clock.now())
  }

  get #reported(): ReportedParts {
    return {
      settings: this.#settings,
      fleet: this.#fleet,
      watched: this.#board.watched,
      groups: this.#groupRecords(),
      store: this.#store,
      hostList: this.#hostList,
      storeReachable: this.#follower.reachable,
      proxies: this.#proxies.subscribers,
      counters: this.#metrics.totals(),
    }
  }

  #startFleet(port: number): FleetTask {
    const { entryHost, zone, region, listen: place, heartbeatIntervalMilliseconds } = this.#settings
    const self: Member = {
      entryHost,
      zone,
      region,
      address: place.address,
      port,
      // Hosts keep nothing, so a new life takes the time as its number; a clock that went back is
      // made up for when the fleet's older word about this host arrives and is refuted.
      incarnation: incarnation(Date.now()),
      status: 'alive',
    }
    const fleet: FleetTask = new FleetTask({
      self,
      clock: this.#clock,
      random: new SystemRandom(),
      heartbeatIntervalMilliseconds,
      toolHandlers: toolHandlers({
        status: () => this.status(),
        usage: () => this.usage(),
        events: this.#events,
        fleet: () => fleet,
        clock: this.#clock,
        proxies: this.#proxies,
        entryHost: this.#settings.entryHost,
      }),
      listener: {
        itemChanged: item => {
          this.#itemChanged(item)
        },
        membershipChanged: (change, host) => {
          this.#metrics.count('membership.changed', { change })
          this.#log.info('membership changed', { change, host })
          this.#plan.request()
          this.#holdersMayChange()
        },
        confirmationChanged: confirmed => {
          if (!confirmed) this.#log.warn('can not confirm that the targets are the newest')
          this.#publication.request()
        },
        opinionHeard: opinion => {
          this.#board.opinionHeard(opinion)
        },
        repairTargets: (document, expectedRevision) => {
          this.#log.warn('the store holds older targets; putting the newest back', {
            version: document.version,
          })
          return restoreTargets(this.#store, document, expectedRevision)
        },
      },
    })
    fleet.start()
    return fleet
  }

  #hostsListed(hosts: readonly ListedHost[]): void {
    this.#hosts.setList(hosts)
    this.#fleet?.tellMembership({ kind: 'hostList', hosts: this.#hosts.entryHosts })
    this.#plan.request()
    this.#publication.request()
  }

  #itemChanged(item: GossipItem): void {
    switch (item.kind) {
      case 'targets':
        this.#log.info('targets in force', { version: item.document.version })
        break
      case 'drains':
        this.#hosts.setDrains(item.drains)
        this.#plan.request()
        break
      case 'group':
        this.#board.recordChanged(item.record, item.revision)
        break
      case 'member':
        return
      default:
        assertNever(item)
    }
    this.#publication.request()
  }

  /**
   * A host that listens to nobody else's word must read the store itself; all of 1,500 doing so
   * would spend the store's reads on waiting.
   */
  #checkFollowing(): void {
    const check = (): void => {
      this.#follower.follow(this.#shouldFollow())
    }
    check()
    this.#followCheck = setInterval(check, FOLLOW_CHECK_MILLISECONDS)
  }

  #shouldFollow(): boolean {
    const fleet = this.#fleet
    if (fleet === null) return false
    const now = this.#clock.now()
    const isLarge = this.#hosts.entryHosts.length > LARGE_FLEET_HOSTS
    if (isLarge && now - this.#startedAt < PEERS_FIRST_MILLISECONDS) return false
    const age = fleet.configuration.confirmationAge(now)
    if (age === null || age > FOLLOW_ALONE_AFTER_MILLISECONDS) return true
    const { zone, region, entryHost } = this.#settings
    const inZone = fleet.membership.workers(now).filter(host => host.zone === zone)
    const plan = new WatcherPlan(inZone, STORE_FOLLOWERS_PER_ZONE)
    const followers = plan.watchersOf(databaseId('store'), [{ zone, region }])
    return followers.some(host => host.entryHost === entryHost)
  }

  #planWatches(): void {
    if (this.#fleet === null) return
    const workers = this.#fleet.membership.workers(this.#clock.now())
    this.#board.plan(workers, this.#hosts.byDatabase)
  }

  #startWatch(database: DatabaseId, pace: WatchPace): DatabaseWatch {
    const { entryHost, zone, region, backendUser } = this.#settings
    const self = { entryHost, zone, region }
    return new DatabaseWatch({
      database,
      machine: this.#makeMachine(database, self, pace),
      records: new GroupRecordStore(this.#store),
      clock: this.#clock,
      backendUser,
      listener: {
        opinionFormed: opinion => {
          for (const partner of this.#board.partnersOf(database)) {
            this.#fleet?.network.notify(partner, 'peer.opinion', opinion)
          }
        },
        recordAnnounced: (record, revision) => {
          this.#fleet?.learn({ kind: 'group', record, revision })
        },
        eventHappened: event => {
          this.#failoverEvent(event)
        },
      },
    })
  }

  #failoverEvent(event: FailoverEvent): void {
    this.#events.add(event)
    const { database, step, term, detail } = event
    this.#log.info('failover', { database, step, term, detail })
    if (step === 'completed') this.#metrics.count('failover.completed', { database })
    if (step === 'abandoned') this.#metrics.count('failover.abandoned', { database })
  }

  #recordOf(database: DatabaseId) {
    const item = this.#fleet?.news.get(`group/${database}`)
    return item?.kind === 'group' ? { record: item.record, revision: item.revision } : null
  }

  #groupRecords(): AgentStatusResult['groups'] {
    const items = [...(this.#fleet?.news.items() ?? [])]
    return items.flatMap(item => (item.kind === 'group' ? [item.record] : []))
  }

  /** Proxies need nothing else of membership; a snapshot of a large fleet is worth sparing. */
  #holdersMayChange(): void {
    const holders = this.#fleet?.membership.connectionHolders() ?? 0
    if (holders === this.#publishedHolders) return
    this.#publication.request()
  }

  #proxyReported(report: ProxyReport): void {
    this.#log.debug('a proxy reports', { ...report })
  }

  #publish(): void {
    if (this.#fleet === null) return
    this.#sequence += 1
    this.#publishedHolders = this.#fleet.membership.connectionHolders()
    this.#proxies.publish(
      buildSnapshot({
        sequence: this.#sequence,
        entryHost: this.#settings.entryHost,
        now: this.#clock.now(),
        configuration: this.#fleet.configuration,
        records: this.#groupRecords(),
        hosts: this.#hosts,
        entryHostCount: this.#publishedHolders,
      }),
    )
  }
}
