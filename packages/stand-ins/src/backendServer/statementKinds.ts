/** Classifies each statement kind as control, session, write or read. */
import type { ControlStatement, Statement } from './statements.js'

export type SessionStatement = Extract<
  Statement,
  {
    kind:
      | 'begin'
      | 'commit'
      | 'rollback'
      | 'setSessionAccess'
      | 'set'
      | 'show'
      | 'discardAll'
      | 'deallocate'
  }
>
export type WriteStatement = Extract<
  Statement,
  {
    kind:
      'insertEntry' | 'upsertEntry' | 'raiseEntry' | 'updateEntry' | 'deleteEntry' | 'insertEvent'
  }
>
export type ReadStatement = Exclude<Statement, ControlStatement | SessionStatement | WriteStatement>
export type DataStatement = WriteStatement | ReadStatement

type StatementCategory = 'control' | 'session' | 'write' | 'read'

const CATEGORIES: Readonly<Record<Statement['kind'], StatementCategory>> = {
  position: 'control',
  fence: 'control',
  promote: 'control',
  follow: 'control',
  setLag: 'control',
  pauseReplication: 'control',
  countStatements: 'control',
  countConnections: 'control',
  begin: 'session',
  commit: 'session',
  rollback: 'session',
  setSessionAccess: 'session',
  set: 'session',
  show: 'session',
  discardAll: 'session',
  deallocate: 'session',
  insertEntry: 'write',
  upsertEntry: 'write',
  raiseEntry: 'write',
  updateEntry: 'write',
  deleteEntry: 'write',
  insertEvent: 'write',
  selectEntry: 'read',
  selectEntryWithRole: 'read',
  selectEntries: 'read',
  countEntries: 'read',
  selectEvents: 'read',
  countEvents: 'read',
  selectLiteral: 'read',
  sleep: 'read',
  generateRows: 'read',
}

export const isControl = (statement: Statement): statement is ControlStatement =>
  CATEGORIES[statement.kind] === 'control'
export const isSession = (statement: Statement): statement is SessionStatement =>
  CATEGORIES[statement.kind] === 'session'
export const isWrite = (statement: DataStatement): statement is WriteStatement =>
  CATEGORIES[statement.kind] === 'write'
