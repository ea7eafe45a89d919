/** Lets a process run for moments only, as on a processor that others use up. */
import type { HostProcess } from './hostProcess.js'

const RUN_MILLISECONDS = 30
const STANDSTILL_MILLISECONDS = 300
const SILENCE_INTERVAL_MILLISECONDS = 5000

export interface Starvation {
  end(): void
}

export interface StarvationParts {
  /** Whether another fault has frozen the process, which is left alone meanwhile. */
  readonly isFrozen: () => boolean
  /** Called from time to time, to silence connections of the process. */
  readonly silence: () => void
}

export function starve(host: HostProcess, { isFrozen, silence }: StarvationParts): Starvation {
  let timer: NodeJS.Timeout | null = null
  const stand = (): void => {
    if (!isFrozen()) host.signal('SIGSTOP')
    timer = setTimeout(run, STANDSTILL_MILLISECONDS)
  }
  const run = (): void => {
    if (!isFrozen()) host.signal('SIGCONT')
    timer = setTimeout(stand, RUN_MILLISECONDS)
  }
  const silencing = setInterval(silence, SILENCE_INTERVAL_MILLISECONDS)
  stand()
  return {
    end: () => {
      if (timer !== null) clearTimeout(timer)
      clearInterval(silencing)
      if (!isFrozen()) host.signal('SIGCONT')
    },
  }
}
