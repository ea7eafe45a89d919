/** Whether connections to this port can be opened; the runtime throws for others. */
export const isPort = (value: unknown): value is number =>
  Number.isInteger(value) && Number(value) > 0 && Number(value) < 65_536
