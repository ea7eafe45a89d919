/** Settings schemas of the programs, which learn their addresses and zone from these settings only. */
import { z } from 'zod'
import { availabilityZoneId, entryHostId, regionId } from '@nutmegcourse/shared'

const port = z.int().min(0).max(65535)
const duration = (defaultMilliseconds: number): z.ZodDefault<z.ZodInt> =>
  z.int().min(1).max(3_600_000).default(defaultMilliseconds)

const endpoint = z.strictObject({
  address: z.union([z.ipv4(), z.ipv6()], 'must be an IP address; host names are not resolved'),
  port,
})

const entryHost = {
  entryHost: z.string().min(1).transform(entryHostId).describe('Name of this entry host.'),
  zone: z
    .string()
    .min(1)
    .transform(availabilityZoneId)
    .describe('Availability zone of this entry host.'),
  region: z.string().min(1).transform(regionId).describe('Region of the availability zone.'),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('Minimum severity of the lines that are logged.'),
  metrics: endpoint
    .exactOptional()
    .describe(
      'StatsD endpoint (UDP) that counters are sent to. If absent, they are counted but not sent.',
    ),
}

const backendUser = z
  .string()
  .min(1)
  .default('nutmegcourse')
  .describe('User name for connections to backend servers.')

export const proxySettingsSchema = z.strictObject({
  ...entryHost,
  listen: endpoint.describe('Endpoint that callers connect to.'),
  agent: endpoint.describe("Endpoint of this entry host's agent."),
  backendUser,
  callerLimit: z
    .int()
    .min(1)
    .default(20_000)
    .describe('Maximum number of open caller connections.'),
  connectTimeoutMilliseconds: duration(1000).describe(
    'Time limit for connecting to a backend server.',
  ),
  questionTimeoutMilliseconds: duration(1000).describe('Time limit for a query of a log position.'),
  drainTimeoutMilliseconds: duration(30_000).describe(
    'Time limit for a graceful shutdown; requests that still run then are aborted and logged.',
  ),
  messageLimitBytes: z
    .int()
    .min(1024)
    .default(16 * 1024 * 1024)
    .describe('Maximum size of a message from a caller.'),
})

export const agentSettingsSchema = z.strictObject({
  ...entryHost,
  listen: endpoint.describe('Endpoint that other agents and nutmegcoursectl connect to.'),
  proxyListen: endpoint.describe(
    "Endpoint that this host's proxies connect to; a loopback address.",
  ),
  store: endpoint.describe("The platform's key-value store."),
  hostList: endpoint.describe("The platform's host list."),
  backendUser,
  watchIntervalMilliseconds: duration(100).describe(
    'Interval at which the log position of a watched backend server is queried.',
  ),
  detectionMilliseconds: duration(400).describe(
    'A primary that answers no watcher for this long may be replaced.',
  ),
  heartbeatIntervalMilliseconds: duration(1000).describe(
    'Interval of the heartbeats between agents.',
  ),
  hostListIntervalMilliseconds: duration(1000).describe('Interval at which the host list is read.'),
  storeTimeoutMilliseconds: duration(1000).describe('Time limit for a call to the store.'),
})

/** Settings of nutmegcoursectl: the endpoints of the platform's store and of one agent. */
export const ctlSettingsSchema = z.strictObject({
  store: endpoint.describe("The platform's key-value store."),
  agent: endpoint.describe('Endpoint of any agent, preferably the nearest.'),
  timeoutMilliseconds: duration(3000).describe('Time limit for each call.'),
})

export type CtlSettings = z.infer<typeof ctlSettingsSchema>
export type ProxySettings = z.infer<typeof proxySettingsSchema>
export type AgentSettings = z.infer<typeof agentSettingsSchema>
