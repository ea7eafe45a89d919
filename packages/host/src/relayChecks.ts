/**
 * Checks of messages from other hosts, any field of which may be missing or of another type: a row that is no text, or
 * a time limit that is no number, would otherwise fail far from here, where a statement runs or its caller is answered.
 *
 * @internal
 */
import type { CallerRefusal, RevisedChange } from '@nutmegcourse/protocol'
import { isFields } from '@nutmegcourse/shared'
import type { ChangeFeedRequest, ChangeFeedResponse } from './changeFeedMessages.js'
import type {
  ReceivedAnswer,
  ReceivedRequest,
  RelayedOrderAnswer,
  RelayedOrderRequest,
} from './groupPeers.js'
import type { GrantAnswer, GrantRequest } from './limitGranter.js'
import type {
  AnswerMessage,
  BeginMessage,
  ContinueMessage,
  EndMessage,
  RequestMessage,
} from './relayMessages.js'

/** The longest span for which a timer can be set. */
const MAXIMUM_WAIT_MILLISECONDS = 2 ** 31 - 1

const REFUSALS: Readonly<Record<CallerRefusal, true>> = {
  notRun: true,
  aborted: true,
  tooManyCallers: true,
  overLimit: true,
  readOnly: true,
  outcomeUnknown: true,
  timeout: true,
  failed: true,
  unknownStatement: true,
  unknownDatabase: true,
  unknownKey: true,
  malformed: true,
  tooLarge: true,
}

const isText = (value: unknown): value is string => typeof value === 'string'

const isFlag = (value: unknown): boolean => typeof value === 'boolean'

const isFlagIfAny = (value: unknown): boolean => value === undefined || isFlag(value)

/** JSON has no infinity, which it writes as null. */
const isNumber = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value)

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0

const isPosition = (value: unknown): boolean =>
  value === null || (isFields(value) && isNumber(value.term) && isNumber(value.offset))

export const isRequestMessage = (value: unknown): value is RequestMessage =>
  isFields(value) &&
  isRouteMessage(value.route) &&
  (value.customer === null || isText(value.customer)) &&
  isText(value.id) &&
  isText(value.text) &&
  isRemoteBody(value.body) &&
  isFlag(value.isWrite) &&
  isValues(value.values) &&
  isPrepared(value.prepared) &&
  isPosition(value.own) &&
  isFlagIfAny(value.isFinal) &&
  isNumber(value.remaining)

export const isBeginMessage = (value: unknown): value is BeginMessage =>
  isFields(value) &&
  isFlag(value.readOnly) &&
  (value.transaction === undefined || isCount(value.transaction)) &&
  isRequestMessage(value.request)

export const isContinueMessage = (value: unknown): value is ContinueMessage =>
  isFields(value) && isCount(value.transaction) && isRequestMessage(value.request)

export const isEndMessage = (value: unknown): value is EndMessage =>
  isFields(value) && isCount(value.transaction)

export function isAnswerMessage(value: unknown): value is AnswerMessage {
  if (!isFields(value)) return false
  if (value.kind === 'declined') return isFlagIfAny(value.isRedirected)
  return (
    value.kind === 'answered' &&
    isAnswer(value.answer) &&
    isPosition(value.position) &&
    (value.reason === undefined || isText(value.reason)) &&
    isPosition(value.own) &&
    (value.transaction === null || isCount(value.transaction))
  )
}

export const isFeedRequest = (value: unknown): value is ChangeFeedRequest =>
  isFields(value) &&
  isCount(value.after) &&
  isNumber(value.wait) &&
  value.wait >= 0 &&
  value.wait <= MAXIMUM_WAIT_MILLISECONDS &&
  isFlag(value.isAwaited) &&
  isFlagIfAny(value.acceptsPacked)

export const isGrantRequest = (value: unknown): value is GrantRequest =>
  isFields(value) && isText(value.customer) && (value.count === undefined || isCount(value.count))

export function isOrderRequest(value: unknown): value is RelayedOrderRequest {
  if (!isFields(value) || !isText(value.service) || !isText(value.server)) return false
  const { order } = value
  if (!isFields(order)) return false
  if (order.kind === 'report') return true
  return (order.kind === 'pause' || order.kind === 'stepDown') && isNumber(order.term)
}

export const isReceivedRequest = (value: unknown): value is ReceivedRequest =>
  isFields(value) && isText(value.service)

/** The route itself is sent with its first request only. */
const isRouteMessage = (value: unknown): boolean =>
  isFields(value) && isCount(value.number) && (value.route === undefined || isRoute(value.route))

const isRoute = (value: unknown): boolean =>
  isFields(value) &&
  [value.name, value.database, value.service].every(isText) &&
  isGuarantee(value.guarantee) &&
  [value.statementTimeoutMilliseconds, value.latencyTargetMilliseconds, value.priority].every(
    isNumber,
  ) &&
  isFlag(value.isPublic)

const isGuarantee = (value: unknown): boolean =>
  isFields(value) &&
  (value.kind === 'latest' ||
    ((value.kind === 'bounded' || value.kind === 'ownWrites') &&
      isNumber(value.maximumAgeMilliseconds)))

function isRemoteBody(value: unknown): boolean {
  if (!isFields(value)) return false
  if (value.kind === 'execute') return isText(value.name) && isText(value.argument)
  return value.kind === 'read' || value.kind === 'write' || value.kind === 'commit'
}

const isValues = (value: unknown): boolean =>
  Array.isArray(value) &&
  value.every(pair => Array.isArray(pair) && pair.length === 2 && pair.every(isText))

const isPrepared = (value: unknown): boolean =>
  value === null ||
  (isFields(value) && (value.effect === 'read' || value.effect === 'write') && isText(value.shape))

function isAnswer(value: unknown): boolean {
  if (!isFields(value)) return false
  switch (value.kind) {
    case 'rows':
      return isText(value.signature) && Array.isArray(value.rows) && value.rows.every(isText)
    case 'acknowledged':
      return true
    case 'refused':
      return isText(value.refusal) && Object.hasOwn(REFUSALS, value.refusal) && isText(value.detail)
    default:
      return false
  }
}

export const isFeedResponse = (value: unknown): value is ChangeFeedResponse =>
  isFields(value) &&
  (value.kind === 'declined' ||
    (value.kind === 'news' &&
      isFlag(value.isWhole) &&
      isCount(value.revision) &&
      [value.madeAgo, value.knownAgo, value.waited].every(isNumber) &&
      (Array.isArray(value.changes) ||
        (isFields(value.changes) && isText(value.changes.deflated)))))

export const isRevisedChange = (value: unknown): value is RevisedChange =>
  isFields(value) &&
  isText(value.kind) &&
  isCount(value.revision) &&
  (value.kind !== 'configuration' ||
    (isFields(value.configuration) && Array.isArray(value.configuration.services)))

export const isGrantAnswer = (value: unknown): value is GrantAnswer =>
  isFields(value) &&
  (value.kind === 'declined' ||
    (value.kind === 'granted' && (value.count === undefined || isCount(value.count))) ||
    (value.kind === 'spent' && isNumber(value.waitMilliseconds)))

export const isOrderAnswer = (value: unknown): value is RelayedOrderAnswer =>
  isFields(value) && (value.report === null || isReport(value.report))

const isReport = (value: unknown): boolean =>
  isFields(value) &&
  (value.role === 'primary' || value.role === 'replica') &&
  isNumber(value.term) &&
  isNumber(value.pausedFor) &&
  value.received !== null &&
  isPosition(value.received)

export const isReceivedAnswer = (value: unknown): value is ReceivedAnswer =>
  isFields(value) &&
  (value.furthest === null ||
    (isFields(value.furthest) &&
      isText(value.furthest.server) &&
      value.furthest.at !== null &&
      isPosition(value.furthest.at)))
