/**
 * Specification of configuration changes: operators concurrently change one document by
 * compare-and-swap; hosts receive it from the store or from each other, and restart without state.
 * If the answer to a swap is lost, its writer reads the document back and looks for its own id.
 */

/** An accepted document: its version and the operator's change that wrote it; 0 for the initial one. */
export interface Document {
  readonly version: number
  readonly change: number
}

/** The progress of an operator's change. */
export type ChangeState =
  | { readonly kind: 'idle' }
  /** Read `base` from the store; the swap will expect it. */
  | { readonly kind: 'read'; readonly base: Document }
  /** The swap was sent and its answer was lost. */
  | { readonly kind: 'unanswered'; readonly base: Document }
  | { readonly kind: 'accepted'; readonly version: number }
  | { readonly kind: 'refused' }
  /** The store was already past the swap's version when it was read back: the outcome is undecidable. */
  | { readonly kind: 'unknown' }

export interface ConfigurationState {
  readonly stored: Document
  readonly changes: readonly ChangeState[]
  /** The document that each host applies; null after a restart. */
  readonly hosts: readonly (Document | null)[]
  /** The newest version that each host has applied in its current incarnation. */
  readonly newestApplied: readonly number[]
  /** The documents of the swaps that actually took effect, in order. */
  readonly history: readonly Document[]
}

export interface ConfigurationBounds {
  readonly changes: number
  readonly hosts: number
}

export type ConfigurationMutation =
  | 'none'
  /** A host applies the last document received, even if it is older. */
  | 'lastReceivedWins'
  /** The store writes without comparing versions. */
  | 'noCompare'
  /** A lost answer is treated as a refusal. */
  | 'lostMeansRefused'
  /** The outcome after a lost answer is decided by the version alone. */
  | 'resolvedByVersion'

export type ConfigurationStep =
  | { readonly type: 'read'; readonly change: number }
  | { readonly type: 'swap'; readonly change: number; readonly answered: boolean }
  | { readonly type: 'readBack'; readonly change: number }
  | { readonly type: 'fetch'; readonly host: number }
  | { readonly type: 'receive'; readonly host: number; readonly from: number }
  | { readonly type: 'restart'; readonly host: number }

const INITIAL_DOCUMENT: Document = { version: 1, change: 0 }

export const initialConfiguration = (bounds: ConfigurationBounds): ConfigurationState => ({
  stored: INITIAL_DOCUMENT,
  changes: Array.from({ length: bounds.changes }, () => ({ kind: 'idle' })),
  hosts: Array.from({ length: bounds.hosts }, () => INITIAL_DOCUMENT),
  newestApplied: Array.from({ length: bounds.hosts }, () => INITIAL_DOCUMENT.version),
  history: [INITIAL_DOCUMENT],
})

export function configurationSuccessors(
  state: ConfigurationState,
  mutation: ConfigurationMutation,
): readonly { readonly step: ConfigurationStep; readonly next: ConfigurationState }[] {
  return candidateConfigurationSteps(state).flatMap(step => {
    const next = applyConfigurationStep(state, step, mutation)
    return next === null ? [] : [{ step, next }]
  })
}

function candidateConfigurationSteps(state: ConfigurationState): readonly ConfigurationStep[] {
  const ofChanges = state.changes.flatMap((_, change): readonly ConfigurationStep[] => [
    { type: 'read', change },
    { type: 'swap', change, answered: true },
    { type: 'swap', change, answered: false },
    { type: 'readBack', change },
  ])
  const ofHosts = state.hosts.flatMap((_, host): readonly ConfigurationStep[] => [
    { type: 'fetch', host },
    { type: 'restart', host },
    ...state.hosts.map((__, from): ConfigurationStep => ({ type: 'receive', host, from })),
  ])
  return [...ofChanges, ...ofHosts]
}

function applyConfigurationStep(
  state: ConfigurationState,
  step: ConfigurationStep,
  mutation: ConfigurationMutation,
): ConfigurationState | null {
  switch (step.type) {
    case 'read':
      if (state.changes[step.change]?.kind !== 'idle') return null
      return withChange(state, step.change, { kind: 'read', base: state.stored })
    case 'swap':
      return swap(state, step.change, step.answered, mutation)
    case 'readBack':
      return readBack(state, step.change, mutation)
    case 'fetch':
      return applyDocument(state, step.host, state.stored, mutation)
    case 'receive': {
      const received = state.hosts[step.from] ?? null
      return received === null ? null : applyDocument(state, step.host, received, mutation)
    }
    case 'restart':
      return restart(state, step.host)
  }
}

function swap(
  state: ConfigurationState,
  index: number,
  answered: boolean,
  mutation: ConfigurationMutation,
): ConfigurationState | null {
  const change = state.changes[index]
  if (change?.kind !== 'read') return null
  const { base } = change
  const matches = state.stored.version === base.version || mutation === 'noCompare'
  const unanswered: ChangeState = { kind: 'unanswered', base }
  if (!matches) return withChange(state, index, answered ? { kind: 'refused' } : unanswered)
  const written: Document = { version: base.version + 1, change: index + 1 }
  const done: ChangeState = { kind: 'accepted', version: written.version }
  const next = withChange(state, index, answered ? done : unanswered)
  return { ...next, stored: written, history: [...state.history, written] }
}

function readBack(
  state: ConfigurationState,
  index: number,
  mutation: ConfigurationMutation,
): ConfigurationState | null {
  const change = state.changes[index]
  if (change?.kind !== 'unanswered') return null
  return withChange(state, index, resolveOutcome(state.stored, index, change.base, mutation))
}

/** Compares the stored document with the version that the swap would have written. */
function resolveOutcome(
  stored: Document,
  index: number,
  base: Document,
  mutation: ConfigurationMutation,
): ChangeState {
  const expectedVersion = base.version + 1
  const accepted: ChangeState = { kind: 'accepted', version: expectedVersion }
  if (mutation === 'lostMeansRefused') return { kind: 'refused' }
  if (mutation === 'resolvedByVersion' && stored.version >= expectedVersion) return accepted
  if (stored.change === index + 1) return accepted
  return stored.version > expectedVersion ? { kind: 'unknown' } : { kind: 'refused' }
}

function applyDocument(
  state: ConfigurationState,
  host: number,
  received: Document,
  mutation: ConfigurationMutation,
): ConfigurationState | null {
  const known = state.hosts[host] ?? null
  const isNewer = known === null || received.version > known.version
  if (!isNewer && mutation !== 'lastReceivedWins') return null
  if (known?.version === received.version && known.change === received.change) return null
  const hosts = state.hosts.map((each, index) => (index === host ? received : each))
  const newestApplied = state.newestApplied.map((version, index) =>
    index === host ? Math.max(version, received.version) : version,
  )
  return { ...state, hosts, newestApplied }
}

/** A new incarnation has no document and need not match what the previous one applied. */
function restart(state: ConfigurationState, host: number): ConfigurationState | null {
  if (state.hosts[host] === null) return null
  const hosts = state.hosts.map((each, index) => (index === host ? null : each))
  const newestApplied = state.newestApplied.map((version, index) => (index === host ? 0 : version))
  return { ...state, hosts, newestApplied }
}

const withChange = (
  state: ConfigurationState,
  index: number,
  change: ChangeState,
): ConfigurationState => ({
  ...state,
  changes: state.changes.map((each, place) => (place === index ? change : each)),
})

/** Returns the name of the first invariant that the state violates; null if all hold. */
export function findConfigurationViolation(state: ConfigurationState): string | null {
  const versions = state.history.map(document => document.version)
  const checks: readonly (readonly [string, boolean])[] = [
    ['a version is accepted at most once', new Set(versions).size === versions.length],
    ['an accepted change took effect', acceptedTookEffect(state)],
    ['a refused change took no effect', refusedTookNoEffect(state)],
    ['a host never returns to an older version', versionsNeverDecrease(state)],
  ]
  return checks.find(([, holds]) => !holds)?.[0] ?? null
}

const tookEffect = (state: ConfigurationState, index: number): boolean =>
  state.history.some(document => document.change === index + 1)

const acceptedTookEffect = (state: ConfigurationState): boolean =>
  state.changes.every((change, index) => change.kind !== 'accepted' || tookEffect(state, index))

const refusedTookNoEffect = (state: ConfigurationState): boolean =>
  state.changes.every((change, index) => change.kind !== 'refused' || !tookEffect(state, index))

const versionsNeverDecrease = (state: ConfigurationState): boolean =>
  state.hosts.every(
    (known, host) => known === null || known.version >= (state.newestApplied[host] ?? 0),
  )
