import type {ShortageScenario} from '../simulate-shortage.js';

/** A heavy day: a burst, restarts in turn, a loss of power, impatient clients. */
export const disturbedDay: ShortageScenario = {
	load: 0.75,
	seconds: 24,
	impatientShare: 0.2,
	burst: {at: 12, seconds: 4, factor: 1.5},
	restarts: {at: 5, count: 5, gapSeconds: 1.3},
	powerCut: {at: 18, seconds: 1},
};
