import {
	decideStatus,
	type VersionStatus,
} from '../coordination/decide-status.js';
import {
	dataCentreStatusSchema,
	inForceSchema,
} from '../protocol/configuration.js';
import type {PlatformObject, WriteCondition} from '../protocol/platform.js';
import type {PlatformClient} from './platform-client.js';

/** Options of `readVersionStatus`. */
export type VersionStatusOptions = {
	readonly platform: PlatformClient;
	/** Newest accepted version that this node knows. */
	readonly acceptedVersion: number;
	/** Data centres that have known members. */
	readonly dataCentres: readonly string[];
	/** Wall-clock time in ms; default `Date.now`. */
	readonly now?: () => number;
};

const statusPrefix = 'status/';
const inForceKey = `${statusPrefix}in-force`;
const maxWriteAttempts = 3;

async function advanceInForceVersion(
	platform: PlatformClient,
	version: number,
): Promise<boolean> {
	for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
		const current = await platform.readObject(inForceKey);
		if (current.kind === 'unavailable') {
			return false;
		}

		const recorded =
			current.kind === 'found'
				? inForceSchema.parse(current.object.value).version
				: 0;
		if (recorded >= version) {
			return true;
		}

		const condition: WriteCondition =
			current.kind === 'found'
				? {kind: 'version', version: current.object.version}
				: {kind: 'absent'};
		const written = await platform.writeObject(
			inForceKey,
			{version},
			condition,
		);
		if (written.kind === 'written') {
			return true;
		}
	}

	return false;
}

function readInForce(items: readonly PlatformObject[]): number {
	const item = items.find(({key}) => key === inForceKey);
	return item ? inForceSchema.parse(item.value).version : 0;
}

/**
 * Reads the status of a version from the platform.
 *
 * A version is reported as in force only after the platform has recorded this.
 * The record is updated by a conditional write and its version never decreases,
 * so no node can report an earlier state afterwards.
 *
 * @param version - the version to look up
 * @param options - see `VersionStatusOptions`
 * @returns the status, or undefined when the platform cannot be read
 * @example
 * await readVersionStatus(7, {platform, acceptedVersion, dataCentres});
 */
export async function readVersionStatus(
	version: number,
	options: VersionStatusOptions,
): Promise<VersionStatus | undefined> {
	const {platform, acceptedVersion, dataCentres, now = Date.now} = options;
	const outcome = await platform.listObjects(statusPrefix);
	if (outcome.kind !== 'items') {
		return undefined;
	}

	const inForceVersion = readInForce(outcome.items);
	const statuses = outcome.items.flatMap(({key, value}) => {
		const parsed = dataCentreStatusSchema.safeParse(value);
		return key !== inForceKey && parsed.success ? [parsed.data] : [];
	});
	const status = decideStatus(version, {
		acceptedVersion,
		inForceVersion,
		statuses,
		dataCentres,
		now: now(),
	});
	const isNewlyInForce =
		status.state === 'in-force' && version > inForceVersion;
	if (!isNewlyInForce || (await advanceInForceVersion(platform, version))) {
		return status;
	}

	return {...status, state: 'accepted'};
}
