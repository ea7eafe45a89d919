import { customerName, milliseconds, SeededRandom } from '@nutmegcourse/shared'
import {
  Admission,
  ServerSlots,
  type ServerSlotsOptions,
  type SlotRequest,
  type StatementLimit,
} from '../../../src/index.js'

export interface NamedRequest extends SlotRequest {
  readonly name: string
}

export interface RequestValues {
  readonly name?: string
  readonly classPriority?: number
  readonly customer?: string | null
  readonly customerWeight?: number
  readonly arrivedAt?: number
  /** After its arrival. */
  readonly target?: number
  /** After its arrival. */
  readonly deadline?: number
  readonly isUnderWay?: boolean
  readonly cost?: number
}

export function slotRequest(values: RequestValues = {}): NamedRequest {
  const { arrivedAt = 0, cost = 10, target = 1000, deadline = 4000, customer = null } = values
  return {
    name: values.name ?? '',
    classPriority: values.classPriority ?? 0,
    customer: customer === null ? null : customerName(customer),
    customerWeight: values.customerWeight ?? 1,
    arrivedAt: milliseconds(arrivedAt),
    targetAt: milliseconds(arrivedAt + target),
    latestStart: milliseconds(arrivedAt + deadline - cost),
    isUnderWay: values.isUnderWay ?? false,
    expectedMilliseconds: cost,
  }
}

/** The statements of these tests take as long as is expected of them, whatever the server's queue. */
const fixedLimit = (value: number): StatementLimit => ({
  value,
  recordAnswer: () => undefined,
  recordBusy: () => undefined,
})

export const serverSlots = (
  slots: number,
  parts: Partial<ServerSlotsOptions> = {},
): ServerSlots<NamedRequest> =>
  new ServerSlots({ limit: fixedLimit(slots), admission: new Admission(), ...parts })

export interface Stream {
  readonly from: number
  readonly until: number
  /** Slots that its requests keep busy in the mean. */
  readonly slots: number
  readonly values: RequestValues & { readonly cost: number }
}

/** Requests that arrive at random moments. */
export function streamOf({ from, until, slots, values }: Stream, seed: number): NamedRequest[] {
  const random = new SeededRandom(seed)
  const requests: NamedRequest[] = []
  const gap = () => (-values.cost / slots) * Math.log(1 - random.next())
  for (let at = from + gap(); at < until; at += gap()) {
    requests.push(slotRequest({ ...values, arrivedAt: at }))
  }
  return requests
}
