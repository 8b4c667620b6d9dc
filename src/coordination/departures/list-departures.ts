import {
	maxUpstreamsPerHost,
	upstreamTombstoneMs,
} from '../../protocol/constants.js';
import type {Departure} from '../../protocol/member.js';
import type {UpstreamLease} from '../members-state.js';

/** Computes until when late announcements of an upstream that has left can arrive, monotonic ms; undefined while it has not left. */
function computeEnd({state, endsAt}: UpstreamLease): number | undefined {
	switch (state) {
		case 'ready': {
			return undefined;
		}

		case 'leaving': {
			return endsAt + upstreamTombstoneMs;
		}

		case 'ended': {
			return endsAt;
		}
	}
}

/**
 * Lists the upstreams that have left this host, the last to end first, for a
 * later process of its node, which starts without their leases.
 *
 * @param leases - leases of the host's upstreams, by id
 * @returns at most `maxUpstreamsPerHost` departures
 * @example
 * listDepartures(new Map()); // []
 */
export function listDepartures(
	leases: ReadonlyMap<string, UpstreamLease>,
): readonly Departure[] {
	return [...leases]
		.flatMap(([id, lease]) => {
			const {incarnation, address} = lease;
			const endsAt = computeEnd(lease);
			return endsAt === undefined ? [] : [{id, incarnation, address, endsAt}];
		})
		.toSorted((a, b) => b.endsAt - a.endsAt)
		.slice(0, maxUpstreamsPerHost);
}
