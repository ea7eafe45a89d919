/** Records what was done to the fleet, one line of JSON each, beside the logs of the hosts. */
import { appendFileSync } from 'node:fs'
import { join } from 'node:path'

export class FaultTrace {
  readonly #file: string
  #isClosed = false

  constructor(directory: string) {
    this.#file = join(directory, 'faults.log')
  }

  /** The directory may be removed afterwards, while commands that have arrived are still carried out. */
  close(): void {
    this.#isClosed = true
  }

  write(event: string, fields: object): void {
    if (this.#isClosed) return
    const line = JSON.stringify({ timestamp: new Date().toISOString(), event, ...fields })
    appendFileSync(this.#file, `${line}\n`)
  }
}
