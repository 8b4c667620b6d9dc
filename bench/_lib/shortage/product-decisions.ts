import {computeRetryAfter} from '../../../src/coordination/compute-retry-after.js';
import {decideEventLoopAdmission} from '../../../src/coordination/decide-event-loop-admission.js';
import {pickHost} from '../../../src/coordination/pick-host.js';
import {busyRetryMs, msPerSecond} from '../../../src/protocol/constants.js';
import type {NodeAdmission, ShortageDecisions} from './shortage-decisions.js';

/** Admission of the product. */
export const productAdmission: NodeAdmission = {
	decideCaller: decideEventLoopAdmission,
	decideGate: ({lagMs, priority, remainingMs}) =>
		lagMs < remainingMs && decideEventLoopAdmission({lagMs, priority}),
	computeRetryAfterMs({remainingMs, random}) {
		const seconds = computeRetryAfter({
			waitMs: busyRetryMs,
			serviceMs: 0,
			objectiveMs: 0,
			remainingMs,
			random: 0.5,
		});
		return seconds * msPerSecond * (0.5 + random);
	},
};

/** The decisions of the product. */
export const productDecisions: ShortageDecisions = {
	name: 'product',
	createAdmission: () => productAdmission,
	pickHost: ({candidates, records, random, options}) =>
		pickHost(candidates, records, random, options) ??
		pickHost(candidates, records, random, {
			...options,
			exclude: new Set<string>(),
		}),
	deferredMs: 0,
	acceptsPerTurn: 1,
	releasesPerTurn: 4,
	hasGateAdmission: true,
	hasRetries: true,
};
