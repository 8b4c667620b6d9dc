import type {DataCentreStatus} from '../protocol/configuration.js';
import {statusSilentAfterMs} from '../protocol/constants.js';

/** State of a version in one data centre. */
export type DataCentreProgress = DataCentreStatus & {
	readonly state: 'accepted' | 'in-force' | 'refused' | 'silent';
	/** Live members that do not report. */
	readonly missingMembers: number;
};

/** State of a version, as operators read it. */
export type VersionStatus = {
	readonly version: number;
	readonly state: 'unknown' | 'accepted' | 'in-force' | 'refused';
	/** Whether every data centre has the version in force by its last report. */
	readonly isEverywhere: boolean;
	readonly dataCentres: readonly DataCentreProgress[];
	/** Data centres that have not reported lately; they are not assumed. */
	readonly silent: readonly string[];
};

/** What `decideStatus` goes by. */
export type StatusInput = {
	/** Newest version known to be accepted. */
	readonly acceptedVersion: number;
	/** Highest version that was ever said to be in force everywhere. */
	readonly inForceVersion: number;
	readonly statuses: readonly DataCentreStatus[];
	/** Data centres that are known to have members. */
	readonly dataCentres: readonly string[];
	/** Wall-clock time in ms. */
	readonly now: number;
};

const emptyStatus: Omit<DataCentreStatus, 'dataCentre'> = {
	version: 0,
	lowestVersion: 0,
	members: 0,
	expectedMembers: 0,
	laggards: [],
	refusals: [],
	writtenAtMs: 0,
	writer: '',
};

function computeDataCentreProgress(
	status: DataCentreStatus,
	version: number,
	now: number,
): DataCentreProgress {
	const missingMembers = Math.max(0, status.expectedMembers - status.members);
	const isRefused = status.refusals.some(
		(refusal) => refusal.version === version,
	);
	const hasReported = status.writer !== '';
	const isSilent =
		!hasReported || now - status.writtenAtMs > statusSilentAfterMs;
	if (isSilent) {
		return {...status, missingMembers, state: 'silent'};
	}

	if (status.version >= version) {
		return {...status, missingMembers, state: 'in-force'};
	}

	return {...status, missingMembers, state: isRefused ? 'refused' : 'accepted'};
}

/**
 * Decides the state of a version from the data centres' reports.
 *
 * In force means that every live member of every data centre runs it; once
 * said it stays. A silent data centre is named and keeps a version from being
 * called in force.
 *
 * @param version - the version asked about
 * @param input - see `StatusFacts`
 * @returns the state, in total and for each data centre
 * @example
 * decideStatus(7, facts).state; // 'in-force'
 */
export function decideStatus(
	version: number,
	input: StatusInput,
): VersionStatus {
	const reported = new Map(
		input.statuses.map((status) => [status.dataCentre, status]),
	);
	const names = [...new Set([...reported.keys(), ...input.dataCentres])];
	const dataCentres = names.toSorted().map((dataCentre) => {
		const status = reported.get(dataCentre) ?? {...emptyStatus, dataCentre};
		return computeDataCentreProgress(status, version, input.now);
	});
	const isEverywhere =
		version > 0 &&
		dataCentres.length > 0 &&
		dataCentres.every(({state}) => state === 'in-force');
	const isInForce = version <= input.inForceVersion || isEverywhere;
	const isRefused = dataCentres.some(({state}) => state === 'refused');
	const isAccepted =
		version <= input.acceptedVersion ||
		dataCentres.some((status) => status.version >= version);
	return {
		version,
		state: isInForce
			? 'in-force'
			: isRefused
				? 'refused'
				: isAccepted
					? 'accepted'
					: 'unknown',
		isEverywhere,
		dataCentres,
		silent: dataCentres
			.filter(({state}) => state === 'silent')
			.map(({dataCentre}) => dataCentre),
	};
}
