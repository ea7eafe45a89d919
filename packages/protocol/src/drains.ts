/** Backend servers that operators drain in order to take them out of service. */
import type { BackendServerId } from '@nutmegcourse/shared'

/** Stored under `DRAINS_KEY`; versions only grow. */
export interface DrainList {
  readonly version: number
  readonly backendServers: readonly BackendServerId[]
}

export const DRAINS_KEY = 'configuration/drains'
export const CONFIGURATION_KEY_PREFIX = 'configuration/'
