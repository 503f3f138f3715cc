/** Returns the value below which a share (0 to 1) of the samples lies. */
export function quantile(samples: readonly number[], share: number): number {
  const sorted = Float64Array.from(samples).sort();
  const index = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[index] ?? NaN;
}

/** Returns the median of the samples. */
export function median(samples: readonly number[]): number {
  return quantile(samples, 0.5);
}

/** Returns the slope of the least-squares line of y over x. */
export function leastSquaresSlope(
  points: readonly {readonly x: number; readonly y: number}[],
): number {
  const meanX = points.reduce((sum, {x}) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, {y}) => sum + y, 0) / points.length;
  const covariance = points.reduce(
    (sum, {x, y}) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((sum, {x}) => sum + (x - meanX) ** 2, 0);
  return covariance / variance;
}
