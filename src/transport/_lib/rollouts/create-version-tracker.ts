import {
	stepRunningVersions,
	type ServiceVersions,
} from '../../../coordination/rollouts/step-running-versions.js';
import {mergeRunningVersions} from '../../../coordination/rollouts/merge-running-versions.js';
import type {Member} from '../../../protocol/member.js';
import type {
	RolloutDirective,
	RunningVersion,
} from '../../../protocol/rollout.js';
import type {Logger} from '../../create-logger.js';

/** Tracks which version of each service runs without an order. */
export type VersionTracker = {
	/** Steps the versions by the members and directives that are known now. */
	update(
		members: readonly Member[],
		directives: readonly RolloutDirective[],
	): void;
	/** Takes over what the leader is certain of. */
	merge(running: readonly RunningVersion[], source: string): void;
	read(): ReadonlyMap<string, ServiceVersions>;
	/** Returns the versions of a service of which not every upstream may get requests; undefined when all may. */
	readRestricted(service: string): ServiceVersions | undefined;
	hasRestricted(): boolean;
};

/** Counts the upstreams of each version of a service. */
function countUpstreams(
	members: readonly Member[],
	service: string,
): Readonly<Record<string, number>> {
	const counts = new Map<string, number>();
	for (const {version = ''} of members
		.flatMap(({upstreams}) => upstreams)
		.filter((upstream) => upstream.service === service)) {
		counts.set(version, (counts.get(version) ?? 0) + 1);
	}

	return Object.fromEntries(counts);
}

/**
 * Creates the tracker of running versions, which logs each change with what it
 * rests on.
 *
 * @param logger - where changes are logged
 * @returns the tracker, which knows no version yet
 */
export function createVersionTracker(
	logger: Pick<Logger, 'info'>,
): VersionTracker {
	let versions: ReadonlyMap<string, ServiceVersions> = new Map();
	let members: readonly Member[] = [];

	function apply(
		next: ReadonlyMap<string, ServiceVersions>,
		source: string,
	): void {
		for (const [service, after] of next) {
			const before = versions.get(service);
			const {running, isCertain, isRestricted} = after;
			if (
				running !== before?.running ||
				isCertain !== before?.isCertain ||
				isRestricted !== before.isRestricted
			) {
				logger.info('running version', {
					service,
					version: running,
					before: before?.running,
					isCertain,
					isRestricted,
					source,
					members: members.length,
					upstreams: countUpstreams(members, service),
				});
			}
		}

		versions = next;
	}

	return {
		update(known, directives) {
			members = known;
			apply(stepRunningVersions(versions, known, directives), 'view');
		},
		merge(running, source) {
			apply(mergeRunningVersions(versions, running), source);
		},
		read: () => versions,
		readRestricted(service) {
			const known = versions.get(service);
			return known?.isRestricted ? known : undefined;
		},
		hasRestricted: () =>
			[...versions.values()].some(({isRestricted}) => isRestricted),
	};
}
