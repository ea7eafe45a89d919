/** Least-squares fits of measured points. */
export interface Point {
  readonly x: number
  readonly y: number
}

export interface LinearFit {
  readonly intercept: number
  readonly slope: number
  /** The largest residual of a point from the line. */
  readonly worstResidual: number
}

export function fitLine(points: readonly Point[]): LinearFit {
  const mean = (pick: (point: Point) => number): number =>
    points.reduce((sum, point) => sum + pick(point), 0) / points.length
  const meanX = mean(point => point.x)
  const meanY = mean(point => point.y)
  const spread = mean(point => (point.x - meanX) ** 2)
  const covariance = mean(point => (point.x - meanX) * (point.y - meanY))
  const slope = spread === 0 ? 0 : covariance / spread
  const intercept = meanY - slope * meanX
  const residuals = points.map(point => Math.abs(point.y - intercept - slope * point.x))
  return { intercept, slope, worstResidual: Math.max(...residuals) }
}

/** Fit of a value that is a linear combination of two measured variables, without an intercept. */
export interface PairFit {
  readonly first: number
  readonly second: number
  /** The largest residual of a point from the plane. */
  readonly worstResidual: number
}

export function fitPair(
  points: readonly { readonly first: number; readonly second: number; readonly y: number }[],
): PairFit {
  const sum = (pick: (point: (typeof points)[number]) => number): number =>
    points.reduce((total, point) => total + pick(point), 0)
  const ofFirst = sum(point => point.first ** 2)
  const ofBoth = sum(point => point.first * point.second)
  const ofSecond = sum(point => point.second ** 2)
  const firstY = sum(point => point.first * point.y)
  const secondY = sum(point => point.second * point.y)
  const determinant = ofFirst * ofSecond - ofBoth ** 2
  const first = (firstY * ofSecond - secondY * ofBoth) / determinant
  const second = (secondY * ofFirst - firstY * ofBoth) / determinant
  const residuals = points.map(point =>
    Math.abs(point.y - first * point.first - second * point.second),
  )
  return { first, second, worstResidual: Math.max(...residuals) }
}
