/** What a caller is told once it is admitted. */
import {
  AUTHENTICATION_OK,
  TransactionStatus,
  backendKeyData,
  negotiateProtocolVersion,
  parameterStatus,
  readyForQuery,
} from '@nutmegcourse/protocol'

/** Names a caller in CancelRequest. */
export interface CancelKey {
  readonly processId: number
  readonly secret: number
}

export interface StartupResponse {
  /** ParameterStatus values. */
  readonly statuses: ReadonlyMap<string, string>
  readonly key: CancelKey
  /** The protocol's minor version that the client asked for. */
  readonly minorVersion: number
  /** Protocol options that this side does not know. */
  readonly unknownOptions: readonly string[]
}

export function encodeStartupResponse(response: StartupResponse): Buffer {
  const { key, minorVersion, unknownOptions } = response
  const negotiates = minorVersion > 0 || unknownOptions.length > 0
  const statuses = [...response.statuses].map(([name, value]) => parameterStatus(name, value))
  return Buffer.concat([
    ...(negotiates ? [negotiateProtocolVersion(unknownOptions)] : []),
    AUTHENTICATION_OK,
    ...statuses,
    backendKeyData(key.processId, key.secret),
    readyForQuery(TransactionStatus.idle),
  ])
}
