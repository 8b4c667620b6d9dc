/**
 * Invariants of the membership views of a fleet.
 */
import type {
	FleetNode,
	MembersFleet,
} from '../../../harness/create-members-fleet.js';
import {computeMembersView} from '../../../src/coordination/compute-members-view.js';
import {findMember} from '../../../src/state/find-member.js';
import {listMembers} from '../../../src/state/list-members.js';

const service = 'kitchens/pricebook';

/** Time after an upstream leaves until no view offers it any more, ms. */
export const leaveBoundMs = 5000;
/** Time after a host dies or freezes, and the last fault ends, until no view
 * offers the host any more, ms. */
export const deathBoundMs = 25_000;
/** Time after the last fault until all views are equal, ms. */
export const settleMs = 60_000;

/** When a host lost its ready upstream, and why. */
export type Absence = {
	readonly sinceMs: number;
	readonly reason: 'left' | 'died';
};

function listAcceptedMembers(fleet: MembersFleet): FleetNode[] {
	return fleet.listRunning().filter(({state}) => state.role !== 'refused');
}

/** Returns whether a host runs and renews the lease of a ready upstream. */
export function hasReadyUpstream(node: FleetNode): boolean {
	return (
		node.condition === 'running' &&
		[...node.upstreams.values()].some(({state}) => state === 'ready')
	);
}

/** Lists hosts that a view still offers past the bound for their absence. */
export function checkCandidates(
	fleet: MembersFleet,
	absences: ReadonlyMap<string, Absence>,
	nowMs: number,
	faultsEndMs: number,
): string[] {
	return listAcceptedMembers(fleet).flatMap(({name, state}) => {
		const candidates = computeMembersView(state).candidates.get(service) ?? [];
		return candidates.flatMap(({host}) => {
			const absence = absences.get(host);
			if (!absence) {
				return [];
			}

			const endMs =
				absence.reason === 'left'
					? absence.sinceMs + leaveBoundMs
					: Math.max(absence.sinceMs, faultsEndMs) + deathBoundMs;
			return nowMs > endMs
				? [`${name} still offers ${host}, which ${absence.reason}`]
				: [];
		});
	});
}

/** Lists running members whose record at another is suspect or dead. */
export function checkFalseSuspicions(fleet: MembersFleet): string[] {
	const running = listAcceptedMembers(fleet);
	return running.flatMap((viewer) =>
		running.flatMap(({name, state}) => {
			const record = findMember(viewer.state.table, name);
			return record &&
				record.state !== 'alive' &&
				record.incarnation === state.self.incarnation
				? [`${viewer.name} has running ${name} as ${record.state}`]
				: [];
		}),
	);
}

function checkView(viewer: FleetNode, running: readonly FleetNode[]): string[] {
	const violations: string[] = [];
	for (const {name, address, state} of running) {
		if (name === viewer.name) {
			continue;
		}

		const record = findMember(viewer.state.table, name);
		const isCurrent =
			record?.state === 'alive' &&
			record.address === address &&
			record.incarnation === state.self.incarnation &&
			record.sequence === state.self.sequence;
		if (!isCurrent) {
			const {state: known = 'unknown', address: at = ''} = record ?? {};
			violations.push(`${viewer.name} has ${name} as ${known} at ${at}`);
		}
	}

	const names = new Set(running.map(({name}) => name));
	const phantoms = listMembers(viewer.state.table).filter(
		(member) => member.state === 'alive' && !names.has(member.name),
	);
	return [
		...violations,
		...phantoms.map(
			({name}) => `${viewer.name} has ${name}, which does not run, as alive`,
		),
	];
}

function checkCandidateHosts(
	viewer: FleetNode,
	running: readonly FleetNode[],
): string[] {
	const candidates =
		computeMembersView(viewer.state).candidates.get(service) ?? [];
	const candidateHosts = candidates
		.map(({host}) => host)
		.toSorted((a, b) => a.localeCompare(b));
	const readyHosts = running
		.filter((node) => hasReadyUpstream(node))
		.map(({name}) => name)
		.toSorted((a, b) => a.localeCompare(b));
	return candidateHosts.join(' ') === readyHosts.join(' ')
		? []
		: [
				`${viewer.name} offers ${candidateHosts.join(' ')}, but ready are ${readyHosts.join(' ')}`,
			];
}

/** Lists differences between the views and the actual state of the fleet. */
export function checkSettled(fleet: MembersFleet): string[] {
	const running = listAcceptedMembers(fleet);
	const refused = fleet
		.listRunning()
		.filter(({state}) => state.role === 'refused');
	const unloggedRefusals = refused
		.filter(({logs}) => logs.length === 0)
		.map(({name}) => `${name} is refused without a log line`);
	const names = running.map(({name}) => name);
	const duplicateNames = names
		.filter((name, index) => names.indexOf(name) !== index)
		.map((name) => `${name} is used by more than one node`);
	return [
		...unloggedRefusals,
		...duplicateNames,
		...running.flatMap((viewer) => [
			...checkView(viewer, running),
			...checkCandidateHosts(viewer, running),
		]),
	];
}
