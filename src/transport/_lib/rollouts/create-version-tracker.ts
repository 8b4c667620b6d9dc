import {listRunningVersions} from '../../../coordination/rollouts/list-running-versions.js';
import {mergeRunningVersions} from '../../../coordination/rollouts/merge-running-versions.js';
import {
	stepRunningVersions,
	type KnownOrder,
	type ServiceVersions,
} from '../../../coordination/rollouts/step-running-versions.js';
import {msPerSecond} from '../../../protocol/constants.js';
import type {Member} from '../../../protocol/member.js';
import type {RunningVersion, StartedTarget} from '../../../protocol/rollout.js';
import type {Logger} from '../../create-logger.js';

/** Options of `createVersionTracker`. */
export type VersionTrackerOptions = {
	readonly logger: Pick<Logger, 'info'>;
	/** Monotonic ms. */
	readonly now: () => number;
	/** Returns the members that are known now. */
	readonly readMembers: () => readonly Member[];
	/** Returns the directives that are known now. */
	readonly readDirectives: () => readonly KnownOrder[];
};

/** What a node that knows the orders has told, or the store. */
export type ToldVersions = {
	readonly running: readonly RunningVersion[];
	/** Targets of orders that have been started and not completed. */
	readonly started: readonly StartedTarget[];
};

/** Tracks which version of each service runs without an order. */
export type VersionTracker = {
	/** Steps the versions by what is known now. */
	update(): void;
	/** Settles the node by what it was told; `source` is for the log. */
	settle(told: ToldVersions, source: string): void;
	/** Merges what another node has reported. */
	merge(running: readonly RunningVersion[], source: string): void;
	/** Whether the versions rest on what others and the store know, or the wait for them is over. */
	isSettled(): boolean;
	/** Whether the node was settled by one that knows the orders. */
	knowsOrders(): boolean;
	read(): ReadonlyMap<string, ServiceVersions>;
	listRunning(): readonly RunningVersion[];
	listStarted(): readonly StartedTarget[];
	hasRestricted(): boolean;
};

/** Time after its start for which a node waits to learn the orders, ms; afterwards, it serves by what it sees. */
const settleTimeoutMs = 3 * msPerSecond;

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
 * @param options - see `VersionTrackerOptions`
 * @returns the tracker, which knows no version yet
 */
export function createVersionTracker(
	options: VersionTrackerOptions,
): VersionTracker {
	const {logger, now, readMembers, readDirectives} = options;
	const startedAt = now();
	let versions: ReadonlyMap<string, ServiceVersions> = new Map();
	let started: readonly StartedTarget[] = [];
	let knowsOrders = false;

	function isSettled(): boolean {
		return knowsOrders || now() - startedAt >= settleTimeoutMs;
	}

	function apply(
		next: ReadonlyMap<string, ServiceVersions>,
		source: string,
	): void {
		for (const [service, {running, isRestricted}] of next) {
			const before = versions.get(service);
			const hasChanged =
				running?.version !== before?.running?.version ||
				running?.basis !== before?.running?.basis ||
				isRestricted !== before?.isRestricted;
			if (hasChanged) {
				const members = readMembers();
				logger.info('running version', {
					service,
					version: running?.version,
					before: before?.running?.version,
					basis: running?.basis,
					isRestricted,
					isSettled: isSettled(),
					source,
					members: members.length,
					upstreams: countUpstreams(members, service),
				});
			}
		}

		versions = next;
	}

	/** Lists the orders that are known; a directive says more than that an order was started. */
	function listOrders(): readonly KnownOrder[] {
		const directives = readDirectives();
		const services = new Set(directives.map(({service}) => service));
		const others = started.filter(({service}) => !services.has(service));
		return [
			...directives,
			...others.map(({service, version}) => {
				const state = 'active' as const;
				return {service, target: version, state};
			}),
		];
	}

	function update(): void {
		const members = readMembers();
		const input = {members, orders: listOrders(), isSettled: isSettled()};
		apply(stepRunningVersions(versions, {...input, now: now()}), 'view');
	}

	function merge(running: readonly RunningVersion[], source: string): void {
		const context = {isSettled: knowsOrders, now: now()};
		apply(mergeRunningVersions(versions, running, context), source);
		update();
	}

	return {
		update,
		settle(told, source) {
			started = told.started;
			merge(told.running, source);
			if (!knowsOrders) {
				knowsOrders = true;
				const durationMs = Math.round(now() - startedAt);
				logger.info('versions settled', {source, durationMs});
				update();
			}
		},
		merge,
		isSettled,
		knowsOrders: () => knowsOrders,
		read: () => versions,
		listRunning: () => listRunningVersions(versions, now()),
		listStarted: () =>
			listOrders()
				.filter(({state}) => state !== 'completed')
				.map(({service, target}) => ({service, version: target})),
		hasRestricted: () =>
			[...versions.values()].some(({isRestricted}) => isRestricted),
	};
}
