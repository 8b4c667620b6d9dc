import type {RunningBasis, RunningVersion} from '../../protocol/rollout.js';
import type {KnownVersion, ServiceVersions} from './step-running-versions.js';

/** What `mergeRunningVersions` depends on. */
export type MergeContext = {
	/** Whether the node has settled before; one that has not takes over what it is told. */
	readonly isSettled: boolean;
	/** Monotonic ms. */
	readonly now: number;
};

const weights: Readonly<Record<RunningBasis, number>> = {
	guessed: 0,
	witnessed: 1,
	ordered: 2,
};

/** Tells whether a version that was told outweighs the known one. */
function isOutweighed(known: KnownVersion, told: KnownVersion): boolean {
	if (known.basis !== told.basis) {
		return weights[told.basis] > weights[known.basis];
	}

	switch (told.basis) {
		case 'guessed':
		case 'witnessed': {
			return told.since < known.since;
		}

		case 'ordered': {
			return told.since > known.since;
		}
	}
}

const unseen: ServiceVersions = {
	running: undefined,
	isRestricted: false,
	aloneSince: undefined,
	absentSince: undefined,
};

/**
 * Merges the running versions that another settled node has told with those that a
 * node knows. Nodes that tell each other agree in the end.
 *
 * @param known - versions of each service, as the node knows them
 * @param running - running versions of the other node
 * @param context - see `MergeContext`
 * @returns the merged versions
 * @example
 * mergeRunningVersions(new Map(), [], {isSettled: false, now: 0}).size; // 0
 */
export function mergeRunningVersions(
	known: ReadonlyMap<string, ServiceVersions>,
	running: readonly RunningVersion[],
	{isSettled, now}: MergeContext,
): ReadonlyMap<string, ServiceVersions> {
	const merged = new Map(known);
	for (const {service, version, basis, ageMs} of running) {
		const own = merged.get(service) ?? unseen;
		const told = {version, basis, since: now - ageMs};
		const isFirst = !isSettled && own.running?.basis !== 'ordered';
		if (!own.running || isFirst || isOutweighed(own.running, told)) {
			merged.set(service, {...own, running: told, absentSince: undefined});
		}
	}

	return merged;
}
