/** Reads the processor time of another process from Linux's /proc. */
import { readFileSync } from 'node:fs'

/** Indexes of fields in /proc/PID/stat after the process name, starting with 0 for the state. */
const USER_FIELD = 11
const SYSTEM_FIELD = 12
const MICROSECONDS_A_TICK = 10_000

/** Accumulated user and system time in microseconds. */
export function processorMicroseconds(processId: number): number {
  const stat = readFileSync(`/proc/${processId}/stat`, 'latin1')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) * MICROSECONDS_A_TICK
}
