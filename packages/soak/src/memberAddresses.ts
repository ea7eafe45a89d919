/**
 * Rewrites the servers' ports in records of group members. Each host reaches a server at a port of its own, and would
 * find a record that names another host's port wrong.
 */
import { readRecordName } from '@nutmegcourse/coordination'

interface WrittenRecord {
  readonly members?: readonly { readonly server: string; readonly port: number }[]
}

/** Returns the record with the port of each server as `portOf` has it, where it has one. */
export function withPorts(
  key: string,
  value: string,
  portOf: (server: string) => number | undefined,
): string {
  if (readRecordName(key)?.kind !== 'members') return value
  const record = JSON.parse(value) as WrittenRecord
  const members = record.members?.map(member => ({
    ...member,
    port: portOf(member.server) ?? member.port,
  }))
  return JSON.stringify({ ...record, members })
}
