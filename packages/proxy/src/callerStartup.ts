/** Reads a caller's identity, class, session and settings from its startup parameters. */
import { readStartupOptions, type Targets } from '@nutmegcourse/protocol'
import {
  className,
  databaseId,
  sessionId,
  type ClassName,
  type DatabaseId,
  type SessionId,
} from '@nutmegcourse/shared'
import { toSetStatements } from './callerSettings.js'

export interface CallerIdentity {
  readonly user: string
  readonly database: DatabaseId
  readonly applicationName: string
  /** Named in the connection's options; null if the targets' defaults apply. */
  readonly class: ClassName | null
  /** Named in the connection's options; null for a session limited to this connection. */
  readonly session: SessionId | null
  /** SET statements equivalent to the startup parameters. */
  readonly settings: readonly string[]
}

export type StartupError =
  | { readonly kind: 'malformed'; readonly detail: string }
  | { readonly kind: 'unsupported'; readonly detail: string }

export type StartupResult =
  | { readonly kind: 'identity'; readonly identity: CallerIdentity }
  | { readonly kind: 'error'; readonly error: StartupError }

const CLASS_OPTION = 'nutmegcourse.class'
const SESSION_OPTION = 'nutmegcourse.session'
/** In characters. Limited because session names are part of logs and messages. */
const SESSION_NAME_LIMIT = 200
const NOT_REPLICATION = new Set(['', 'false', 'off', 'no', '0'])

export function readIdentity(parameters: ReadonlyMap<string, string>): StartupResult {
  const user = parameters.get('user') ?? ''
  if (user === '') return failure('malformed', 'a startup packet without a user')
  if (!NOT_REPLICATION.has(parameters.get('replication') ?? '')) {
    return failure('unsupported', 'replication connections')
  }
  const options = readStartupOptions(parameters.get('options') ?? '')
  const find = (name: string): string | undefined => options.get(name) ?? parameters.get(name)
  const classText = find(CLASS_OPTION)
  const sessionText = find(SESSION_OPTION)
  if (sessionText !== undefined && sessionText.length > SESSION_NAME_LIMIT) {
    return failure('malformed', `${SESSION_OPTION} is longer than ${SESSION_NAME_LIMIT}`)
  }
  return {
    kind: 'identity',
    identity: {
      user,
      database: databaseId(parameters.get('database') ?? user),
      applicationName: parameters.get('application_name') ?? '',
      class: classText === undefined ? null : className(classText),
      session: sessionText === undefined || sessionText === '' ? null : sessionId(sessionText),
      settings: [...toSetStatements(parameters), ...toSetStatements(options)],
    },
  }
}

function failure(kind: StartupError['kind'], detail: string): StartupResult {
  return { kind: 'error', error: { kind, detail } }
}

/** The class of the first default that matches the caller; null if none matches. */
export function findDefaultClass(targets: Targets, identity: CallerIdentity): ClassName | null {
  const found = targets.defaults.find(
    entry =>
      (entry.user ?? identity.user) === identity.user &&
      (entry.applicationName ?? identity.applicationName) === identity.applicationName &&
      (entry.database ?? identity.database) === identity.database,
  )
  return found?.class ?? null
}

/** ParameterStatus values for callers until a backend server has reported its own. */
const DEFAULT_PARAMETERS: ReadonlyMap<string, string> = new Map([
  ['server_version', '16.0'],
  ['server_encoding', 'UTF8'],
  ['client_encoding', 'UTF8'],
  ['DateStyle', 'ISO, MDY'],
  ['IntervalStyle', 'postgres'],
  ['TimeZone', 'UTC'],
  ['integer_datetimes', 'on'],
  ['standard_conforming_strings', 'on'],
  ['is_superuser', 'off'],
])

/** ParameterStatus values for a caller: the server's own if known, with the caller's user and application. */
export function parametersForCaller(
  identity: CallerIdentity,
  server: ReadonlyMap<string, string>,
): ReadonlyMap<string, string> {
  return new Map([
    ...DEFAULT_PARAMETERS,
    ...server,
    ['application_name', identity.applicationName],
    ['session_authorization', identity.user],
  ])
}
