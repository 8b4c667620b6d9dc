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

/** Rules of configuration delivery; the defaults are the named constants. */
export type DeliveryRules = {
	/**
	 * Number of other hosts of the data centre that must hold a version before it
	 * is run.
	 */
	readonly requiredHolders: number;
	/**
	 * Time from the first answer of a node that knows a safe version to the first
	 * run, while the platform cannot be read, ms.
	 */
	readonly settleMs: number;
	/**
	 * Time for which a node waits for a version that a peer holds before it asks
	 * that peer, ms.
	 */
	readonly repairAfterMs: number;
	/** Interval of a root's reads of the next log slot, ms. */
	readonly probeIntervalMs: number;
	/** Maximum number of children of a node of median capacity. */
	readonly fanOut: number;
	/** Number of slots of the ring that stores the log. */
	readonly ringSize: number;
	readonly applyEntry: (
		configuration: Configuration,
		entry: LogEntry,
	) => Result<Configuration, Problem>;
	readonly validateConfiguration: (
		value: unknown,
	) => Result<Configuration, Problem>;
};

/** Time, randomness and rules, shared by the functions of one step. */
export type DeliveryContext = {
	readonly now: number;
	readonly random: () => number;
	readonly rules: DeliveryRules;
};

/** One action of a step. */
export type DeliveryAction = (
	state: DeliveryState,
	context: DeliveryContext,
) => DeliveryStep;

/** Runs actions in order and collects their effects. */
export function runDeliveryActions(
	step: DeliveryStep,
	actions: readonly DeliveryAction[],
	context: DeliveryContext,
): DeliveryStep {
	let {state} = step;
	const effects = [...step.effects];
	for (const action of actions) {
		const next = action(state, context);
		state = next.state;
		effects.push(...next.effects);
	}

	return {state, effects};
}

/** Returns the newest configuration that a node holds. */
export function findNewestConfiguration(state: DeliveryState): Configuration {
	return state.heldConfigurations.at(-1)!;
}

/** Returns whether a call of one of the kinds is in flight. */
export function hasCall(
	state: DeliveryState,
	...kinds: ReadonlyArray<CallPurpose['kind']>
): boolean {
	return [...state.calls.values()].some(({purpose}) =>
		kinds.includes(purpose.kind),
	);
}

/** Adds a call in flight and assigns its ID. */
export function addCall(
	state: DeliveryState,
	call: Call,
): {readonly state: DeliveryState; readonly callId: number} {
	const callId = state.lastCallId + 1;
	const calls = new Map(state.calls).set(callId, call);
	return {state: {...state, calls, lastCallId: callId}, callId};
}
