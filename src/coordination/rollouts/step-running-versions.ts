import {msPerSecond} from '../../protocol/constants.js';
import type {Member} from '../../protocol/member.js';
import type {RolloutDirective, RunningBasis} from '../../protocol/rollout.js';

/** Version of a service that runs without an order, and how it is known. */
export type KnownVersion = {
	readonly version: string;
	readonly basis: RunningBasis;
	/**
	 * Monotonic ms: of a guessed version, the start of its oldest upstream; else,
	 * when it was first known to run.
	 */
	readonly since: number;
};

/** Versions of a service. */
export type ServiceVersions = {
	/** Version that runs without an order; undefined when none is known. */
	readonly running: KnownVersion | undefined;
	/** Whether not every upstream may get requests. */
	readonly isRestricted: boolean;
	/** Since when a settled node has seen upstreams of the running version only, monotonic ms. */
	readonly aloneSince: number | undefined;
	/** Since when no upstream of the running version has been seen, monotonic ms. */
	readonly absentSince: number | undefined;
};

/** An order as far as it says which version does not run, or runs from now on. */
export type KnownOrder = Pick<RolloutDirective, 'service' | 'state' | 'target'>;

/** What `stepRunningVersions` depends on. */
export type VersionsInput = {
	readonly members: readonly Member[];
	/** Order of each service that has one. */
	readonly orders: readonly KnownOrder[];
	/** Whether the node has learned what others and the store know, so that what it sees is no longer the beginning of a view. */
	readonly isSettled: boolean;
	/** Monotonic ms. */
	readonly now: number;
};

/** Time for which a settled node must see one version alone before that outweighs the age of upstreams, ms. */
const witnessMs = 3 * msPerSecond;

/** Time without an upstream of the running version after which another one takes its place, ms; records of other hosts arrive within a second. */
const goneAfterMs = 2 * msPerSecond;

/** Versions of the upstreams of a service. */
type Seen = {
	/** Start of the oldest upstream of each version, monotonic ms. */
	readonly starts: Map<string, number>;
	/** Whether an upstream announces no version. */
	hasUnknown: boolean;
};

function createSeen(): Seen {
	return {starts: new Map<string, number>(), hasUnknown: false};
}

/** Lists the versions of each service, on hosts that are suspected or cut off too: their upstreams may still serve others. */
function listVersions(members: readonly Member[]): ReadonlyMap<string, Seen> {
	const all = new Map<string, Seen>();
	for (const {state, upstreams} of members) {
		if (state === 'dead' || state === 'left') {
			continue;
		}

		for (const {service, version, since} of upstreams) {
			const seen = all.get(service) ?? createSeen();
			all.set(service, seen);
			if (version === undefined) {
				seen.hasUnknown = true;
			} else {
				const start = seen.starts.get(version) ?? since;
				seen.starts.set(version, Math.min(start, since));
			}
		}
	}

	return all;
}

function findOldest(
	starts: ReadonlyMap<string, number>,
	excluded: string | undefined,
): KnownVersion | undefined {
	let oldest: KnownVersion | undefined;
	for (const [version, since] of starts) {
		if (version !== excluded && !(oldest && oldest.since <= since)) {
			oldest = {version, basis: 'guessed', since};
		}
	}

	return oldest;
}

/** Steps the running version of a service whose order, if there is one, is not completed. */
function stepRunning(
	before: ServiceVersions | undefined,
	{starts}: Seen,
	excluded: string | undefined,
	now: number,
): Pick<ServiceVersions, 'running' | 'absentSince'> {
	const kept =
		before?.running?.version === excluded ? undefined : before?.running;
	const oldest = findOldest(starts, excluded);
	if (!kept) {
		return {running: oldest, absentSince: undefined};
	}

	const start = starts.get(kept.version);
	if (start === undefined) {
		const absentSince = before?.absentSince ?? now;
		const isGone = oldest !== undefined && now - absentSince >= goneAfterMs;
		return isGone
			? {running: oldest, absentSince: undefined}
			: {running: kept, absentSince};
	}

	const since = Math.min(kept.since, start);
	const isGuessed = kept.basis === 'guessed';
	const isOlder = isGuessed && oldest !== undefined && oldest.since < since;
	const running = isGuessed ? {...kept, since} : kept;
	return {running: isOlder ? oldest : running, absentSince: undefined};
}

/** Counts a version that has been alone for long enough as witnessed. */
function promote(
	before: ServiceVersions | undefined,
	now: number,
): ServiceVersions | undefined {
	if (
		before?.running?.basis !== 'guessed' ||
		before.aloneSince === undefined ||
		now - before.aloneSince < witnessMs
	) {
		return before;
	}

	const {running, aloneSince} = before;
	return {
		...before,
		running: {...running, basis: 'witnessed', since: aloneSince},
	};
}

/** Returns the version that runs by a completed order. */
function completeOrder(
	known: KnownVersion | undefined,
	version: string,
	now: number,
): KnownVersion {
	return known?.version === version && known.basis === 'ordered'
		? known
		: {version, basis: 'ordered', since: now};
}

function stepService(
	known: ServiceVersions | undefined,
	seen: Seen,
	order: KnownOrder | undefined,
	{isSettled, now}: VersionsInput,
): ServiceVersions {
	const {starts, hasUnknown} = seen;
	const isMixed = starts.size + (hasUnknown ? 1 : 0) > 1;
	if (order?.state === 'completed') {
		const running = completeOrder(known?.running, order.target, now);
		const times = {aloneSince: undefined, absentSince: undefined};
		return {running, isRestricted: isMixed, ...times};
	}

	const before = promote(known, now);
	const {running, absentSince} = stepRunning(before, seen, order?.target, now);
	const isRunningSeen = running !== undefined && starts.has(running.version);
	const isAlone = isSettled && isRunningSeen && !isMixed;
	const isSame = before?.running?.version === running?.version;
	return {
		running,
		// Without any announced version, there is nothing to tell apart but the target of an order.
		isRestricted:
			starts.size === 0 ? order !== undefined : isMixed || !isRunningSeen,
		aloneSince: isAlone
			? ((isSame ? before?.aloneSince : undefined) ?? now)
			: undefined,
		absentSince,
	};
}

/**
 * Updates which version of each service runs without an order. In order of weight:
 * what an order says, what a settled node has seen to run alone or was told by one
 * that has, and the version whose upstreams are the oldest. The target of an order
 * that is not completed never runs without it.
 *
 * @param before - state before
 * @param input - see `VersionsInput`
 * @returns the state
 * @example
 * stepRunningVersions(new Map(), input).get('profiles')?.running?.version; // 'v1'
 */
export function stepRunningVersions(
	before: ReadonlyMap<string, ServiceVersions>,
	input: VersionsInput,
): ReadonlyMap<string, ServiceVersions> {
	const seen = listVersions(input.members);
	const services = new Set([...before.keys(), ...seen.keys()]);
	return new Map(
		[...services].map((service) => {
			const order = input.orders.find((other) => other.service === service);
			const versions = seen.get(service) ?? createSeen();
			const known = before.get(service);
			return [service, stepService(known, versions, order, input)];
		}),
	);
}
