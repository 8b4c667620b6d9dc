import {maxCrashesPerRecord} from '../../../protocol/constants.js';
import {mergeVersions} from '../../merge-versions.js';
import type {
	Crash,
	CrashRecord,
	RunningRequest,
	VersionStatus,
} from '../../quarantine-state.js';

/** Keeps the newest crashes of a record. */
function limitCrashes(
	crashes: ReadonlyMap<string, Crash>,
): ReadonlyMap<string, Crash> {
	if (crashes.size <= maxCrashesPerRecord) {
		return crashes;
	}

	const newestFirst = [...crashes].toSorted(
		([, {at}], [, {at: otherAt}]) => otherAt - at,
	);
	return new Map(newestFirst.slice(0, maxCrashesPerRecord));
}

/** What is merged into a record. */
export type RecordChange = Pick<CrashRecord, 'crashes' | 'versions'>;

export const noVersions: ReadonlyMap<string, VersionStatus> = new Map();

/** Tells whether the known versions differ. */
function hasOtherVersions(
	one: ReadonlyMap<string, VersionStatus>,
	other: ReadonlyMap<string, VersionStatus>,
): boolean {
	return (
		one.size !== other.size ||
		[...one].some(([version, status]) => other.get(version) !== status)
	);
}

/** Merges crashes and versions into a record; returns undefined when they change nothing. */
export function mergeRecord(
	record: CrashRecord | undefined,
	{fingerprint, service}: RunningRequest,
	{crashes, versions}: RecordChange,
	random: () => number,
): CrashRecord | undefined {
	const merged = new Map(record?.crashes);
	for (const [id, crash] of crashes) {
		const known = merged.get(id) ?? crash;
		merged.set(id, {
			...known,
			isCleared: [known, crash].some(({isCleared}) => isCleared),
		});
	}

	const limited = limitCrashes(merged);
	const versionsBefore = record?.versions ?? noVersions;
	const mergedVersions = mergeVersions(
		versionsBefore,
		versions,
		limited.values(),
	);
	const isChanged =
		hasOtherVersions(mergedVersions, versionsBefore) ||
		[...limited].some(
			([id, {isCleared}]) => record?.crashes.get(id)?.isCleared !== isCleared,
		);
	return isChanged
		? {
				fingerprint,
				service,
				crashes: limited,
				versions: mergedVersions,
				jitter: record?.jitter ?? random(),
			}
		: undefined;
}
