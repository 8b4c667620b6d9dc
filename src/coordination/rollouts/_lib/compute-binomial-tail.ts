/**
 * Computes the probability of at least a number of successes in independent
 * trials, up to rounding.
 *
 * @param trials - number of trials
 * @param successes - number of successes
 * @param probability - probability of each success, above 0 and below 1
 * @returns the probability
 */
export function computeBinomialTail(
	trials: number,
	successes: number,
	probability: number,
): number {
	const odds = Math.log(probability / (1 - probability));
	let logTerm = trials * Math.log(1 - probability);
	let sum = successes <= 0 ? Math.exp(logTerm) : 0;
	for (let count = 1; count <= trials; count++) {
		logTerm += Math.log((trials - count + 1) / count) + odds;
		if (count >= successes) {
			sum += Math.exp(logTerm);
		}
	}

	return Math.min(1, sum);
}
