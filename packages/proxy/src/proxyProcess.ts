/** Connects the proxy's settings, core, agent link and listener, and shuts them down gracefully. */
import type { Server } from 'node:net'
import { Metrics, createLog, logStalls, type Log } from '@nutmegcourse/observability'
import type { ProxySettings } from '@nutmegcourse/settings'
import { SystemClock, SystemRandom } from '@nutmegcourse/shared'
import { ProxyCore, type RoutingQuestion } from '@nutmegcourse/state'
import { listen } from '@nutmegcourse/transport'
import { AgentLink } from './agentLink.js'
import { ProxyShell, type ShellLog } from './proxyShell.js'

/** Longest wait for the agent's first complete snapshot before callers are accepted. */
const FIRST_SNAPSHOT_TIMEOUT_MILLISECONDS = 5000

export class ProxyProcess {
  readonly #settings: ProxySettings
  readonly #log: Log
  readonly #stopStallLog: () => void
  readonly #metrics: Metrics
  readonly #shell: ProxyShell
  readonly #agent: AgentLink
  #server: Server | null = null
  #stopped: Promise<boolean> | null = null
  #onReady: () => void = () => undefined

  constructor(settings: ProxySettings) {
    const { entryHost, zone, region, logLevel, agent } = settings
    const clock = new SystemClock()
    const random = new SystemRandom()
    const core = new ProxyCore({ zone, region }, random)
    this.#settings = settings
    this.#log = createLog({ process: 'proxy', entryHost, zone }, logLevel)
    this.#stopStallLog = logStalls(this.#log)
    this.#metrics = new Metrics(settings.metrics)
    this.#shell = new ProxyShell({
      settings,
      core,
      clock,
      random,
      metrics: this.#metrics,
      log: shellLog(this.#log),
      report: effect => {
        const { database } = effect
        if (effect.kind === 'writesHeld') {
          const { attempt } = effect
          this.#log.info('writes held for a planned move', { database, attempt })
          this.#agent.reportHeldWrites({ database, attempt })
          return
        }
        const { server, health } = effect
        this.#agent.report({ database, backendServer: server, health })
      },
    })
    const handlers = {
      'proxy.status': () => this.#shell.status(),
      'proxy.explain': (params: unknown) => core.explain(params as RoutingQuestion, clock.now()),
    }
    this.#agent = new AgentLink(agent, handlers, this.#agentEvents, random)
  }

  /**
   * Returns the port on which callers are served. Listens once the agent's snapshot is complete enough:
   * earlier callers would be refused as if their class or database did not exist. Without an agent it
   * listens after a time-out, and callers get an error that names the missing configuration.
   */
  async start(): Promise<number> {
    await this.#waitUntilReady(FIRST_SNAPSHOT_TIMEOUT_MILLISECONDS)
    const { address, port } = this.#settings.listen
    const listening = await listen(address, port, socket => {
      this.#shell.accept(socket)
    })
    this.#server = listening.server
    return listening.port
  }

  #waitUntilReady(timeoutMilliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, timeoutMilliseconds)
      this.#onReady = () => {
        clearTimeout(timer)
        resolve()
      }
      if (this.#shell.isReady) this.#onReady()
    })
  }

  /** Resolves to true if nothing in flight was cut. Further calls return the same promise. */
  stop(): Promise<boolean> {
    this.#stopped ??= this.#runStop()
    return this.#stopped
  }

  async #runStop(): Promise<boolean> {
    this.#log.info('stopping')
    this.#server?.close()
    const graceful = await this.#drain()
    if (!graceful)
      this.#log.warn(
        'drain timeout expired; closed the remaining callers',
        this.#shell.destroyCallers(),
      )
    this.#shell.close()
    this.#agent.close()
    this.#metrics.close()
    this.#stopStallLog()
    this.#log.info('stopped', { graceful })
    return graceful
  }

  async #drain(): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined
    const expired = new Promise<boolean>(resolve => {
      timer = setTimeout(() => {
        resolve(false)
      }, this.#settings.drainTimeoutMilliseconds)
    })
    const drained = this.#shell.stop().then(() => true)
    const graceful = await Promise.race([drained, expired])
    clearTimeout(timer)
    return graceful
  }

  get #agentEvents(): ConstructorParameters<typeof AgentLink>[2] {
    return {
      snapshot: (snapshot, isFirst) => {
        this.#log.debug('snapshot', { sequence: snapshot.sequence })
        this.#shell.updateSnapshot(snapshot, isFirst)
        if (this.#shell.isReady) this.#onReady()
      },
      connected: () => {
        this.#log.info('agent connected')
      },
      disconnected: error => {
        this.#log.warn('agent not connected; continuing with the last snapshot', {
          error: error.detail,
        })
      },
    }
  }
}

function shellLog(log: Log): ShellLog {
  return {
    traces: log.isDebugEnabled(),
    trace: (request, step, detail) => {
      log.debug(step, { request, detail })
    },
    warn: (text, fields) => {
      log.warn(text, fields)
    },
    event: (text, fields) => {
      log.info(text, fields)
    },
  }
}
