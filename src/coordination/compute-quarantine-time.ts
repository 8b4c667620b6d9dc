import {msPerMinute, msPerSecond} from '../protocol/constants.js';

/** Crashes from which a request is quarantined; one crash has as many suspects as its upstream had requests. */
const minQuarantineCrashes = 2;

/** Time of the first quarantine, ms; a request that is blamed wrongly is served again after it. */
const firstQuarantineMs = 30 * msPerSecond;

/** Time of the second quarantine, ms; it doubles with each further crash. */
const secondQuarantineMs = 10 * msPerMinute;

/**
 * Computes for how long a request is quarantined after its last crash.
 *
 * @param crashes - number of crashes since an upstream has last answered it
 * @returns the time, ms; 0 when it is not quarantined
 * @example
 * computeQuarantineTime(2); // 30_000
 */
export function computeQuarantineTime(crashes: number): number {
	const further = crashes - minQuarantineCrashes;
	if (further <= 0) {
		return further === 0 ? firstQuarantineMs : 0;
	}

	return secondQuarantineMs * 2 ** (further - 1);
}
