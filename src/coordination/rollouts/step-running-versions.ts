import type {Member} from '../../protocol/member.js';
import type {RolloutDirective} from '../../protocol/rollout.js';

/** Versions of a service. */
export type ServiceVersions = {
	/** Version that served before any order; undefined when none is known. */
	readonly running: string | undefined;
	/** Whether it has been seen to serve alone, or an order was completed. */
	readonly isCertain: boolean;
	/** Whether not every upstream may get requests. */
	readonly isRestricted: boolean;
};

/** Version of upstreams that announce none. */
const unknownVersion = '';

type Seen = {
	readonly versions: Set<string>;
	/** Known version whose upstreams started first. */
	oldest: {readonly version: string; readonly since: number} | undefined;
};

/** Lists the versions of each service, on hosts that are suspected or cut off too: their upstreams may still serve others. */
function listVersions(members: readonly Member[]): ReadonlyMap<string, Seen> {
	const seen = new Map<string, Seen>();
	for (const {state, upstreams} of members) {
		if (state === 'dead' || state === 'left') {
			continue;
		}

		for (const {service, version = unknownVersion, since} of upstreams) {
			const known = seen.get(service) ?? {
				versions: new Set<string>(),
				oldest: undefined,
			};
			seen.set(service, known);
			known.versions.add(version);
			if (
				version !== unknownVersion &&
				(!known.oldest || since < known.oldest.since)
			) {
				known.oldest = {version, since};
			}
		}
	}

	return seen;
}

function stepService(
	before: ServiceVersions | undefined,
	{versions, oldest}: Seen,
	directive: Pick<RolloutDirective, 'state' | 'target'> | undefined,
): ServiceVersions {
	const named = [...versions].filter((version) => version !== unknownVersion);
	const isMixed = versions.size > 1;
	if (directive?.state === 'completed') {
		const running = directive.target;
		return {running, isCertain: true, isRestricted: isMixed};
	}

	const [only] = named;
	const isOrdered = directive !== undefined && directive.target === only;
	if (named.length === 1 && !isOrdered) {
		const isReplaced = before?.running === undefined || !isMixed;
		return {
			running: isReplaced ? only : before.running,
			isCertain: !isMixed || before?.isCertain === true,
			isRestricted: isMixed,
		};
	}

	const guess =
		oldest?.version === directive?.target
			? named.find((version) => version !== directive?.target)
			: oldest?.version;
	return {
		running: before?.running ?? guess,
		isCertain: before?.isCertain === true,
		isRestricted: named.length > 0,
	};
}

/**
 * Updates which version of each service serves without an order: one that all
 * upstreams share is in use, and one that appears beside another gets no requests
 * until an order names it.
 *
 * @param before - state before
 * @param members - known members
 * @param directives - directive of each service that has one
 * @returns the state
 * @example
 * stepRunningVersions(new Map(), [], []).size; // 0
 */
export function stepRunningVersions(
	before: ReadonlyMap<string, ServiceVersions>,
	members: readonly Member[],
	directives: ReadonlyArray<
		Pick<RolloutDirective, 'service' | 'state' | 'target'>
	>,
): ReadonlyMap<string, ServiceVersions> {
	const after = new Map<string, ServiceVersions>();
	for (const [service, seen] of listVersions(members)) {
		const directive = directives.find((other) => other.service === service);
		after.set(service, stepService(before.get(service), seen, directive));
	}

	return after;
}
