/** `apply`, `get` and `diff`: change and read the operators' targets in the store. */
import { stringify } from 'yaml'
import { readTargets, formatSettingsError } from '@nutmegcourse/settings'
import {
  RECENT_CHANGES_KEPT,
  TARGETS_KEY,
  type Targets,
  type VersionedTargets,
} from '@nutmegcourse/protocol'
import { changeDocument, readDocument, type ChangeError } from '../changeDocument.js'
import { EXIT_CODES, fail, succeed, type CommandResult } from '../exitCode.js'
import type { StorePort } from '../storePort.js'
import { describeDifference } from '../targetsDifference.js'

export interface ApplyRequest {
  readonly text: string
  readonly file: string
  readonly changedBy: string
  readonly changeId: string
  /** Refuse unless this version is in force; null accepts any. */
  readonly expectVersion: number | null
  /**
   * The newest version that the agent knows; 0 if it did not answer. After a restore of the store to an
   * older value, the next version would otherwise be one that the fleet has already seen and ignores.
   */
  readonly fleetVersion: number
  readonly json: boolean
}

export async function applyTargets(
  store: StorePort,
  request: ApplyRequest,
): Promise<CommandResult> {
  const read = readTargets(request.text, request.file)
  if (read.isErr()) return fail(EXIT_CODES.invalidDocument, formatSettingsError(read.error))
  const current = await readDocument(store, TARGETS_KEY)
  if (current.isErr()) return describeChangeError(current.error, read.value)
  const revision = current.value?.revision ?? 0
  const inForce = versionedTargetsOf(current.value?.value)
  const newest = Math.max(inForce?.version ?? 0, request.fleetVersion)
  if (request.expectVersion !== null && request.expectVersion !== newest) {
    return describeConflict(inForce, read.value)
  }
  const next = nextVersion(inForce, read.value, request)
  const changed = await changeDocument(store, {
    key: TARGETS_KEY,
    expectedRevision: revision,
    value: next,
    isContainedIn: stored => containsChange(versionedTargetsOf(stored), request.changeId),
  })
  if (changed.isErr()) return describeChangeError(changed.error, read.value)
  return describeApplied(inForce, next, request.json)
}

export async function getTargets(store: StorePort, json: boolean): Promise<CommandResult> {
  const current = await readDocument(store, TARGETS_KEY)
  if (current.isErr()) return describeChangeError(current.error, null)
  const inForce = versionedTargetsOf(current.value?.value)
  if (inForce === null) return succeed(json ? 'null\n' : '# no targets yet\n')
  if (json) return succeed(`${JSON.stringify(inForce)}\n`)
  const header = `# version ${inForce.version}, changed by ${inForce.changedBy}\n`
  return succeed(header + stringify(inForce.targets))
}

export async function diffTargets(
  store: StorePort,
  request: Pick<ApplyRequest, 'text' | 'file' | 'json'>,
): Promise<CommandResult> {
  const read = readTargets(request.text, request.file)
  if (read.isErr()) return fail(EXIT_CODES.invalidDocument, formatSettingsError(read.error))
  const current = await readDocument(store, TARGETS_KEY)
  if (current.isErr()) return describeChangeError(current.error, null)
  const inForce = versionedTargetsOf(current.value?.value)
  const lines = describeDifference(inForce?.targets ?? null, read.value)
  const output = request.json ? `${JSON.stringify({ differences: lines })}\n` : asText(lines)
  const exitCode = lines.length === 0 ? EXIT_CODES.success : EXIT_CODES.different
  return { exitCode, output, errorOutput: '' }
}

function nextVersion(
  inForce: VersionedTargets | null,
  targets: Targets,
  request: ApplyRequest,
): VersionedTargets {
  const earlier = inForce === null ? [] : [...inForce.recentChangeIds, inForce.changeId]
  return {
    version: Math.max(inForce?.version ?? 0, request.fleetVersion) + 1,
    changeId: request.changeId,
    changedBy: request.changedBy,
    recentChangeIds: earlier.slice(-RECENT_CHANGES_KEPT),
    targets,
  }
}

function containsChange(stored: VersionedTargets | null, changeId: string): boolean {
  return stored !== null && [...stored.recentChangeIds, stored.changeId].includes(changeId)
}

/** A document written by this program; with any other value under the key, no targets are in force. */
function versionedTargetsOf(stored: unknown): VersionedTargets | null {
  const isDocument = typeof stored === 'object' && stored !== null && 'targets' in stored
  return isDocument ? (stored as VersionedTargets) : null
}

function describeApplied(
  before: VersionedTargets | null,
  after: VersionedTargets,
  json: boolean,
): CommandResult {
  const lines = describeDifference(before?.targets ?? null, after.targets)
  if (json) return succeed(`${JSON.stringify({ version: after.version, differences: lines })}\n`)
  return succeed(`version ${after.version} accepted\n${asText(lines)}`)
}

function describeConflict(inForce: VersionedTargets | null, wanted: Targets): CommandResult {
  const lines = describeDifference(inForce?.targets ?? null, wanted)
  const winner = `version ${inForce?.version ?? 0} by ${inForce?.changedBy ?? 'nobody'} is in force`
  return fail(
    EXIT_CODES.conflict,
    `conflict: ${winner}; nothing was changed. Yours differs from it:\n${asText(lines)}`,
  )
}

function describeChangeError(error: ChangeError, wanted: Targets | null): CommandResult {
  switch (error.kind) {
    case 'conflict': {
      const inForce = versionedTargetsOf(error.current?.value)
      return wanted === null
        ? fail(EXIT_CODES.conflict, 'conflict; nothing was changed')
        : describeConflict(inForce, wanted)
    }
    case 'unreachable':
      return fail(EXIT_CODES.unreachable, `store unreachable, nothing was changed: ${error.detail}`)
    case 'outcomeUnknown':
      return fail(
        EXIT_CODES.outcomeUnknown,
        `the store's answer is lost; check with 'nutmegcoursectl get': ${error.detail}`,
      )
  }
}

const asText = (lines: readonly string[]): string => lines.map(line => `${line}\n`).join('')
