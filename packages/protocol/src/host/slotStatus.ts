/** What an entry host tells operators about the slots of backend servers and who uses them. */
import { z } from 'zod'

/** The customer under which all but the largest ones are summed up. */
export const OTHER_CUSTOMERS = 'others'

const classSchema = z.looseObject({
  /** The priority of its routes; 0 is the highest. */
  priority: z.number(),
  waiting: z.number(),
  /** Expected wait of its next newcomer, of a customer that has nothing waiting: that of its slowest route. */
  forecastMilliseconds: z.number(),
})

const serverSchema = z.looseObject({
  service: z.string(),
  server: z.string(),
  isPrimary: z.boolean(),
  /** The host through which its region's statements go; null if no host is planned. */
  dispatcher: z.string().nullable(),
  slots: z.number(),
  /** Statements that it may have in flight. */
  limit: z.number(),
  inFlight: z.number(),
  /** This host's connections to it. */
  openConnections: z.number(),
  classes: z.array(classSchema),
})

/** Rates are those of about the last ten seconds at this host. */
const customerSchema = z.looseObject({
  customer: z.string(),
  /** Part of all slot time that was used through this host, 0 to 1. */
  slotShare: z.number(),
  waiting: z.number(),
  refusedPerSecond: z.looseObject({
    /** At once, because their turns would come too late; another server may have run them. */
    slots: z.number(),
    /** Their deadline passed while they waited for a slot. */
    overdue: z.number(),
    /** The limit was used up. */
    limit: z.number(),
    /** Too few holders of the limit were reachable. */
    limitUnknown: z.number(),
  }),
  /** Operations that this host admitted for its own callers; null without a limit. */
  limitUse: z
    .looseObject({ operationsPerSecond: z.number(), admittedPerSecond: z.number() })
    .nullable(),
})

const slotStatusSchema = z.looseObject({
  entryHost: z.string(),
  servers: z.array(serverSchema),
  customers: z.array(customerSchema),
})

export type ClassSlotStatus = z.infer<typeof classSchema>
export type ServerSlotStatus = z.infer<typeof serverSchema>
export type CustomerSlotStatus = z.infer<typeof customerSchema>
export type SlotStatus = z.infer<typeof slotStatusSchema>

/** Null when the value is not a status of slots. Unknown fields, which newer releases may add, are kept. */
export function readSlotStatus(value: unknown): SlotStatus | null {
  const checked = slotStatusSchema.safeParse(value)
  return checked.success ? checked.data : null
}
