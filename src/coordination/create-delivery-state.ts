import {createConfiguration} from '../state/create-configuration.js';
import type {DeliveryState} from './delivery-state.js';

/**
 * Creates the state of a delivery machine that holds nothing yet.
 *
 * @param name - name of the node
 * @param dataCentre - its data centre
 * @returns the state
 * @example
 * createDeliveryState('abdali-1', 'abdali').runningVersion; // undefined
 */
export function createDeliveryState(
	name: string,
	dataCentre: string,
): DeliveryState {
	return {
		name,
		dataCentre,
		members: [],
		position: undefined,
		heldConfigurations: [createConfiguration()],
		runningVersion: undefined,
		isSettled: false,
		minStartVersion: undefined,
		firstContactAt: undefined,
		safeVersion: 0,
		holders: new Map(),
		entries: [],
		refusal: undefined,
		needsSnapshot: false,
		refusedSnapshot: {version: 0, until: 0},
		source: {kind: 'head'},
		sourceFailures: 0,
		nextSourceCallAt: 0,
		nextProbeAt: 0,
		nextStartProbeAt: 0,
		pullFailures: 0,
		nextPullAt: 0,
		missingVersion: undefined,
		lastReport: {text: '', at: 0},
		reportFailures: 0,
		children: new Map(),
		polls: [],
		status: {condition: undefined, version: 0, text: '', at: 0},
		calls: new Map(),
		lastCallId: 0,
	};
}
