import type {DeliveryState, DeliveryStep} from '../../delivery-state.js';
import {holderExpiryMs} from '../../../protocol/constants.js';
import {
	findNewestConfiguration,
	type DeliveryContext,
} from './delivery-context.js';

/**
 * Forgets what nodes held that have not been heard of lately.
 *
 * @param state - the state before
 * @param now - monotonic ms
 * @returns the state after
 */
export function expireHolders(
	state: DeliveryState,
	now: number,
): DeliveryState {
	const holders = [...state.holders].filter(
		([, {at}]) => at > now - holderExpiryMs,
	);
	return holders.length === state.holders.size
		? state
		: {...state, holders: new Map(holders)};
}

/**
 * Raises the version known to be safe to run.
 *
 * A version is safe once enough other hosts of the data centre hold it, so
 * that it outlives the ones that run it first. What other data centres call
 * safe does not count: a host that restarts asks its own data centre.
 *
 * @param state - the state before
 * @param context - time and rules
 * @returns the state after
 */
export function updateSafeVersion(
	state: DeliveryState,
	context: DeliveryContext,
): DeliveryStep {
	const others = state.members.filter(
		(member) =>
			member.name !== state.name &&
			member.dataCentre === state.dataCentre &&
			member.state === 'alive',
	);
	const required = Math.min(context.rules.requiredHolders, others.length);
	const newest = findNewestConfiguration(state).version;
	const versions = others
		.flatMap(({name}) => state.holders.get(name) ?? [])
		.filter(({at}) => at > context.now - holderExpiryMs)
		.map(({version}) => version)
		.toSorted((a, b) => b - a);
	const held = required === 0 ? newest : (versions[required - 1] ?? 0);
	const safeVersion = Math.max(state.safeVersion, Math.min(newest, held));
	return {state: {...state, safeVersion}, effects: []};
}

function updateStartFloor(
	state: DeliveryState,
	context: DeliveryContext,
): DeliveryState {
	const {firstContactAt, isSettled, minStartVersion} = state;
	const hasWaited =
		firstContactAt !== undefined &&
		context.now - firstContactAt >= context.rules.settleMs;
	return minStartVersion === undefined && (isSettled || hasWaited)
		? {
				...state,
				isSettled: true,
				minStartVersion: findNewestConfiguration(state).version,
			}
		: state;
}

/**
 * Runs the newest held version that may be run, if it is above the present.
 *
 * A first version after a start is run only when nothing newer can have been
 * run before: the platform's log ends with it, or the other nodes had time to
 * spread what any of them holds. It is then at least the newest version held
 * at that time, and the newest one known to be safe.
 *
 * @param state - the state before
 * @param context - time and rules
 * @returns the state after, with at most one `run` effect
 */
export function updateRunning(
	state: DeliveryState,
	context: DeliveryContext,
): DeliveryStep {
	const settled = updateStartFloor(state, context);
	const {heldConfigurations, safeVersion, runningVersion} = settled;
	const configuration = heldConfigurations.findLast(
		({version}) => version <= safeVersion,
	);
	if (!configuration || configuration.version <= (runningVersion ?? 0)) {
		return {state: settled, effects: []};
	}

	const mayStart =
		settled.minStartVersion !== undefined &&
		configuration.version >= settled.minStartVersion &&
		configuration.version === safeVersion;
	if (runningVersion === undefined && !mayStart) {
		return {state: settled, effects: []};
	}

	return {
		state: {
			...settled,
			runningVersion: configuration.version,
			heldConfigurations: heldConfigurations.filter(
				({version}) => version >= configuration.version,
			),
		},
		effects: [{kind: 'run', configuration}],
	};
}
