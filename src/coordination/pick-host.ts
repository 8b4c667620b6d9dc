import type {Candidate} from '../protocol/member.js';

/** What a caller's node knows of the load of a host. */
export type HostLoad = {
	/** Requests that this node has in flight on the host. */
	readonly ownInFlight: number;
	/** Load that the host last reported, as a share of its slots. */
	readonly reportedShare: number;
};

/** Options of `pickHost`. */
export type PickOptions = {
	/** Data centre that is preferred. */
	readonly dataCentre: string;
	/** Hosts already tried for this request. */
	readonly exclude?: ReadonlySet<string>;
	/** Load share of the own data centre above which others are used too. */
	readonly spillShare?: number;
};

function computeShare(
	candidate: Candidate,
	load: HostLoad | undefined,
): number {
	if (!load) {
		return 0;
	}

	return load.ownInFlight / candidate.slots + load.reportedShare;
}

/**
 * Picks the host for a request: the less loaded of two chosen at random
 * (Mitzenmacher, 2001), in the own data centre unless that is near full.
 *
 * @param candidates - hosts with a ready upstream of the service
 * @param loads - what is known of hosts' loads, by host name
 * @param random - source of numbers from 0 up to 1
 * @param options - see `PickOptions`
 * @returns the host, or undefined when there is none
 * @example
 * pickHost(candidates, new Map(), Math.random, {dataCentre: 'abdali'});
 */
export function pickHost(
	candidates: readonly Candidate[],
	loads: ReadonlyMap<string, HostLoad>,
	random: () => number,
	options: PickOptions,
): Candidate | undefined {
	const {dataCentre, exclude = new Set<string>(), spillShare = 0.8} = options;
	const usable = candidates.filter(({host}) => !exclude.has(host));
	const local = usable.filter(
		(candidate) => candidate.dataCentre === dataCentre,
	);
	const localShare =
		local.reduce(
			(sum, candidate) =>
				sum + computeShare(candidate, loads.get(candidate.host)),
			0,
		) / Math.max(1, local.length);
	const pool = local.length > 0 && localShare < spillShare ? local : usable;
	if (pool.length === 0) {
		return undefined;
	}

	const first = pool[Math.floor(random() * pool.length)]!;
	const second = pool[Math.floor(random() * pool.length)]!;
	const firstShare = computeShare(first, loads.get(first.host));
	const secondShare = computeShare(second, loads.get(second.host));
	return secondShare < firstShare ? second : first;
}
