/**
 * Isolates callers' session state on pooled connections: a change made by a request is either recorded
 * for its caller, and applied to the connections that the caller uses next, or discarded.
 */
import { assertNever, type Refusal } from '@nutmegcourse/shared'
import type { BackendConnection } from './backendConnection.js'
import type { RunOutcome, SessionTag } from './runOutcome.js'
import type { CallerRequest } from './callerRequest.js'
import type { CallerSettings } from './callerSettings.js'
import type { CallerIdentity } from './callerStartup.js'
import { isLocalSetting } from './transactionCommands.js'

export interface SettingsOwner {
  readonly settings: CallerSettings
  readonly identity: CallerIdentity | null
}

/** Records the settings of the startup packet after they ran; returns a refusal if they failed. */
export function recordStartupSettings(
  caller: SettingsOwner,
  connection: BackendConnection,
  outcome: RunOutcome,
): Refusal | null {
  if (outcome.failed) {
    connection.setup.markDirty()
    const detail = `the backend server refuses the settings at startup (${outcome.sqlState ?? ''})`
    return { reason: 'malformed', detail }
  }
  const isWithinLimit =
    caller.identity?.settings.every(statement => caller.settings.add(statement)) ?? true
  connection.setup.recordSettings(caller.settings)
  return isWithinLimit ? null : { reason: 'unsupported', detail: 'too many settings at startup' }
}

/** Returns false if the caller has more settings than the limit. */
export function recordSessionChanges(
  caller: SettingsOwner,
  connection: BackendConnection,
  request: CallerRequest,
  outcome: RunOutcome,
  insideTransaction: boolean,
): boolean {
  if (outcome.sessionTags.length === 0) return true
  return outcome.sessionTags.every(tag =>
    recordSessionTag(tag, caller, connection, request, outcome, insideTransaction),
  )
}

function recordSessionTag(
  tag: SessionTag,
  caller: SettingsOwner,
  connection: BackendConnection,
  request: CallerRequest,
  outcome: RunOutcome,
  insideTransaction: boolean,
): boolean {
  switch (tag) {
    case 'SET':
    case 'RESET': {
      const text = outcome.commands === 1 ? request.statementText : null
      if (text !== null && isLocalSetting(text)) return true
      // Inside a transaction it may be rolled back, and among several commands its text is unknown.
      if (text === null || insideTransaction) {
        connection.setup.markDirty()
        return true
      }
      const isWithinLimit = caller.settings.add(text)
      connection.setup.recordSettings(caller.settings)
      return isWithinLimit
    }
    case 'DISCARD ALL':
      caller.settings.clear()
      connection.setup.recordDiscardAll()
      return true
    case 'DEALLOCATE ALL':
      connection.setup.recordDeallocateAll()
      return true
    case 'DISCARD':
    case 'DEALLOCATE':
    case 'DECLARE CURSOR':
    case 'LISTEN':
    case 'PREPARE':
      connection.setup.markDirty()
      return true
    default:
      return assertNever(tag)
  }
}
