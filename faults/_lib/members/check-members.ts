/**
 * Invariants of the views of a fleet.
 */
import type {
	FleetNode,
	MembersFleet,
} from '../../../harness/create-members-fleet.js';
import {computeMembersView} from '../../../src/coordination/compute-members-view.js';
import {findMember} from '../../../src/state/find-member.js';
import {listMembers} from '../../../src/state/list-members.js';

const service = 'kitchens/pricebook';

/** How long after an upstream left no view may offer it, ms. */
export const leaveBoundMs = 5000;
/** How long after a host died or froze, and the last fault ended, no view may
 * offer it, ms. */
export const deathBoundMs = 25_000;
/** How long after the last fault all views are equal, ms. */
export const settleMs = 60_000;

/** Since when a host has had no ready upstream, and why. */
export type Absence = {
	readonly sinceMs: number;
	readonly reason: 'left' | 'died';
};

function listTaking(fleet: MembersFleet): FleetNode[] {
	return fleet.listRunning().filter(({state}) => state.role !== 'refused');
}

/** Whether a host has a ready upstream that it renews. */
export function hasReadyUpstream(node: FleetNode): boolean {
	return (
		node.condition === 'running' &&
		[...node.upstreams.values()].some(({state}) => state === 'ready')
	);
}

/** Lists hosts that a view offers too long after their upstream was gone. */
export function checkCandidates(
	fleet: MembersFleet,
	absences: ReadonlyMap<string, Absence>,
	nowMs: number,
	faultsEndMs: number,
): string[] {
	return listTaking(fleet).flatMap(({name, state}) => {
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
				? [`${name} offers ${host}, which ${absence.reason} before`]
				: [];
		});
	});
}

/** Lists running members that a running one takes for suspect or dead. */
export function checkFalseSuspicions(fleet: MembersFleet): string[] {
	const running = listTaking(fleet);
	return running.flatMap((viewer) =>
		running.flatMap(({name, state}) => {
			const record = findMember(viewer.state.table, name);
			return record &&
				record.state !== 'alive' &&
				record.incarnation === state.self.incarnation
				? [`${viewer.name} takes ${name} for ${record.state}`]
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
		const isRight =
			record?.state === 'alive' &&
			record.address === address &&
			record.incarnation === state.self.incarnation &&
			record.sequence === state.self.sequence;
		if (!isRight) {
			const {state: known = 'unknown', address: at = ''} = record ?? {};
			violations.push(`${viewer.name} has ${name} as ${known} at ${at}`);
		}
	}

	const names = new Set(running.map(({name}) => name));
	const ghosts = listMembers(viewer.state.table).filter(
		(member) => member.state === 'alive' && !names.has(member.name),
	);
	return [
		...violations,
		...ghosts.map(({name}) => `${viewer.name} has ${name} as alive`),
	];
}

function checkOffers(
	viewer: FleetNode,
	running: readonly FleetNode[],
): string[] {
	const candidates =
		computeMembersView(viewer.state).candidates.get(service) ?? [];
	const offered = candidates
		.map(({host}) => host)
		.toSorted((a, b) => a.localeCompare(b));
	const ready = running
		.filter((node) => hasReadyUpstream(node))
		.map(({name}) => name)
		.toSorted((a, b) => a.localeCompare(b));
	return offered.join(' ') === ready.join(' ')
		? []
		: [`${viewer.name} offers ${offered.join(' ')} for ${ready.join(' ')}`];
}

/** Lists differences between the views and the fleet as it is. */
export function checkSettled(fleet: MembersFleet): string[] {
	const running = listTaking(fleet);
	const refused = fleet
		.listRunning()
		.filter(({state}) => state.role === 'refused');
	const silent = refused
		.filter(({logs}) => logs.length === 0)
		.map(({name}) => `${name} is refused without a log`);
	const names = running.map(({name}) => name);
	const doubled = names
		.filter((name, index) => names.indexOf(name) !== index)
		.map((name) => `${name} is in use twice`);
	return [
		...silent,
		...doubled,
		...running.flatMap((viewer) => [
			...checkView(viewer, running),
			...checkOffers(viewer, running),
		]),
	];
}
