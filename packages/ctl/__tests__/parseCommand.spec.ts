import { describe, it } from 'node:test'
import { expect } from 'earl'
import { parseCommand } from '../src/parseCommand.js'

describe('parseCommand', () => {
  const accepted: { commandLine: string; kind: string }[] = [
    { commandLine: 'apply targets.yaml --expect-version 3 --as amina', kind: 'apply' },
    { commandLine: 'apply - --json', kind: 'apply' },
    { commandLine: 'get', kind: 'get' },
    { commandLine: 'diff -', kind: 'diff' },
    { commandLine: 'status --settings ctl.yaml', kind: 'status' },
    { commandLine: 'explain session tally-7', kind: 'explain' },
    { commandLine: 'drain sched-1-a --undo', kind: 'drain' },
    { commandLine: 'slots 10.0.3.7:9464 --json', kind: 'slots' },
    { commandLine: 'slots [::1]:9464', kind: 'slots' },
    { commandLine: '--help', kind: 'help' },
    { commandLine: 'drain --help', kind: 'help' },
  ]
  for (const { commandLine, kind } of accepted) {
    it(`accepts: ${commandLine}`, () => {
      expect(parseCommand(commandLine.split(' '))._unsafeUnwrap().command.kind).toEqual(
        kind as 'get',
      )
    })
  }

  const refused: { commandLine: string; message: string }[] = [
    { commandLine: 'promote x', message: 'no such command: promote' },
    { commandLine: 'apply', message: 'apply takes 1 operand, not 0' },
    {
      commandLine: 'apply f --expect-version new',
      message: '--expect-version takes a whole number, not new',
    },
    { commandLine: 'get --undo', message: 'get does not take --undo' },
    { commandLine: 'slots', message: 'slots takes 1 operand, not 0' },
    { commandLine: 'slots 10.0.3.7', message: 'slots takes HOST:PORT, not 10.0.3.7' },
    { commandLine: 'slots :9464', message: 'slots takes HOST:PORT, not :9464' },
    { commandLine: 'slots host:0', message: 'slots takes HOST:PORT, not host:0' },
    { commandLine: 'slots host:65536', message: 'slots takes HOST:PORT, not host:65536' },
    { commandLine: 'slots host:9464 --undo', message: 'slots does not take --undo' },
    {
      commandLine: 'explain caller x',
      message: 'explain takes one of class, session, database, not caller',
    },
  ]
  for (const { commandLine, message } of refused) {
    it(`refuses: ${commandLine}`, () => {
      expect(parseCommand(commandLine.split(' '))._unsafeUnwrapErr()).toEqual(message)
    })
  }
})
