/** Branded identifiers, so that the compiler tells them apart. */
import type { Brand } from './brand.js'

/** An entry host: a machine that runs one agent and one or more proxies. From settings. */
export type EntryHostId = Brand<string, 'EntryHostId'>
/** An availability zone. From settings and the platform's host list. */
export type AvailabilityZoneId = Brand<string, 'AvailabilityZoneId'>
/** A region: a group of zones. Links between regions are slow. From settings and the host list. */
export type RegionId = Brand<string, 'RegionId'>
/** A database: one group of backend servers that replicate each other. */
export type DatabaseId = Brand<string, 'DatabaseId'>
/** A backend server: one instance of a database. */
export type BackendServerId = Brand<string, 'BackendServerId'>
/** A class of work that operators declare in the targets. */
export type ClassName = Brand<string, 'ClassName'>
/** A session that may move between proxies. Given by the caller, or generated for one connection. */
export type SessionId = Brand<string, 'SessionId'>
/** Identifies one request in every process and log line. */
export type RequestId = Brand<string, 'RequestId'>
/** Marks one attempt at a change in the store, so that a writer whose answer was lost can read whether it was made. */
export type AttemptId = Brand<string, 'AttemptId'>
/** A host's incarnation: grows with each restart, so that reports of an older one never win. */
export type Incarnation = Brand<number, 'Incarnation'>

/** A customer whose callers share limits and connections. From the operators' configuration. */
export type CustomerName = Brand<string, 'CustomerName'>

export const entryHostId = (value: string): EntryHostId => value as EntryHostId
export const availabilityZoneId = (value: string): AvailabilityZoneId => value as AvailabilityZoneId
export const regionId = (value: string): RegionId => value as RegionId
export const databaseId = (value: string): DatabaseId => value as DatabaseId
export const backendServerId = (value: string): BackendServerId => value as BackendServerId
export const customerName = (value: string): CustomerName => value as CustomerName
export const className = (value: string): ClassName => value as ClassName
export const sessionId = (value: string): SessionId => value as SessionId
export const requestId = (value: string): RequestId => value as RequestId
export const attemptId = (value: string): AttemptId => value as AttemptId
export const incarnation = (value: number): Incarnation => value as Incarnation
