/**
 * Holds the newest configuration of the operators. Versions only increase: a late response never makes a running
 * host return to an older one.
 *
 * @internal
 */
import type { FleetConfiguration, Route } from '@nutmegcourse/protocol'
import { CustomerDirectory } from '@nutmegcourse/state'
import { Signal } from './waiting.js'

export class ConfigurationHolder {
  readonly #configured = new Signal()
  #configuration: FleetConfiguration | null = null
  #routes = new Map<string, Route>()
  #customers = new CustomerDirectory([])

  get current(): FleetConfiguration | null {
    return this.#configuration
  }

  /** Puts a newer configuration in force; returns false for one that is not newer. */
  replace(configuration: FleetConfiguration): boolean {
    if (this.#configuration !== null && configuration.version <= this.#configuration.version) {
      return false
    }
    this.#configuration = configuration
    this.#routes = new Map(configuration.routes.map(route => [route.database, route]))
    this.#customers = new CustomerDirectory(configuration.customers)
    this.#configured.raise()
    return true
  }

  get customers(): CustomerDirectory {
    return this.#customers
  }

  route(database: string): Route | null {
    return this.#routes.get(database) ?? null
  }

  async whenConfigured(span: number): Promise<void> {
    if (this.#configuration === null) await this.#configured.wait(span)
  }
}
