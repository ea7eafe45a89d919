/** Settings of one backend server process. */
import { z } from 'zod'

export const backendServerSettingsSchema = z.strictObject({
  address: z.string().default('127.0.0.1'),
  port: z.int().default(0),
  /** File of the replicated log; absent: the log is kept in memory only. */
  dataFile: z.string().optional(),
  /** Initial role and term, used only when there is no data file yet. */
  initialRole: z.enum(['primary', 'replica']).default('replica'),
  initialTerm: z.int().min(0).default(0),
  slots: z.int().min(1).default(3),
  connectionLimit: z.int().min(1).default(25),
  /** Delay before a new connection is ready. */
  connectMilliseconds: z.number().min(0).default(0),
  /** How long each statement occupies its slot. */
  serviceMilliseconds: z.number().min(0).default(0),
  replicationLagMilliseconds: z.number().min(0).default(0),
  /** Maps an advertised port to the port by which this server's zone reaches the same server. */
  routes: z.array(z.strictObject({ fromPort: z.int(), toPort: z.int() })).default([]),
})
export type BackendServerSettings = z.infer<typeof backendServerSettingsSchema>
