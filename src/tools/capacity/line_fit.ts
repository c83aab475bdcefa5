/** Least-squares fit of a line, to show how a cost grows with a size. */

/** y = base + slope * x. */
export interface FittedLine {
  base: number;
  slope: number;
}

/** Fits a line to the points; without two different x its slope is 0. */
export function computeLine(
  points: readonly {x: number; y: number}[],
): FittedLine {
  const meanX = points.reduce((sum, {x}) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, {y}) => sum + y, 0) / points.length;
  let covariance = 0;
  let variance = 0;
  for (const {x, y} of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance > 0 ? covariance / variance : 0;
  return {slope, base: meanY - slope * meanX};
}
