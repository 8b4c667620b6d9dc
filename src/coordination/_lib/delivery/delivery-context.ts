import type {Result} from 'neverthrow';
import type {
	Configuration,
	LogEntry,
	Problem,
} from '../../../protocol/configuration.js';
import type {
	Call,
	CallPurpose,
	DeliveryState,
	DeliveryStep,
} from '../../delivery-state.js';

/** Rules of delivery; the defaults are the named constants. */
export type DeliveryRules = {
	/** Other hosts of the data centre that hold a version before it is run. */
	readonly requiredHolders: number;
	/** Wait before a first version is run while the platform is unreadable, ms. */
	readonly settleMs: number;
	/** How long a node lacks a version that it heard of before it asks, ms. */
	readonly repairAfterMs: number;
	/** Time between a root's reads of the next log slot, ms. */
	readonly probeIntervalMs: number;
	/** Most children of a node. */
	readonly fanOut: number;
	/** Slots of the log. */
	readonly ringSize: number;
	readonly applyEntry: (
		configuration: Configuration,
		entry: LogEntry,
	) => Result<Configuration, Problem>;
	readonly validateConfiguration: (
		value: unknown,
	) => Result<Configuration, Problem>;
};

/** What the functions of one step share. */
export type DeliveryContext = {
	readonly now: number;
	readonly random: () => number;
	readonly rules: DeliveryRules;
};

/** One part of a step. */
export type DeliveryAction = (
	state: DeliveryState,
	context: DeliveryContext,
) => DeliveryStep;

/** Runs parts one after another, joining their effects. */
export function runDeliveryActions(
	step: DeliveryStep,
	parts: readonly DeliveryAction[],
	context: DeliveryContext,
): DeliveryStep {
	let {state} = step;
	const effects = [...step.effects];
	for (const part of parts) {
		const next = part(state, context);
		state = next.state;
		effects.push(...next.effects);
	}

	return {state, effects};
}

/** Returns the newest configuration that a node holds. */
export function findNewestConfiguration(state: DeliveryState): Configuration {
	return state.heldConfigurations.at(-1)!;
}

/** Tells whether a call of one of the kinds is in flight. */
export function hasCall(
	state: DeliveryState,
	...kinds: ReadonlyArray<CallPurpose['kind']>
): boolean {
	return [...state.calls.values()].some(({purpose}) =>
		kinds.includes(purpose.kind),
	);
}

/** Notes a new call in flight and gives it a number. */
export function addCall(
	state: DeliveryState,
	call: Call,
): {readonly state: DeliveryState; readonly callId: number} {
	const callId = state.lastCallId + 1;
	const calls = new Map(state.calls).set(callId, call);
	return {state: {...state, calls, lastCallId: callId}, callId};
}
