import type {FakeConnection, FakeHost, Simulation} from './simulation.js';

const latencyMs = 0.5;
const jitterMs = 0.5;

/**
 * Opens a connection from the caller's node to a host's gate.
 *
 * @param simulation - the simulation of the case
 * @param host - the host
 * @param onBroken - called when the caller's node learns that the connection
 *   has broken
 * @returns the connection, or undefined if it can't be opened
 */
export function openConnection(
	simulation: Simulation,
	host: FakeHost,
	onBroken: () => void,
): FakeConnection | undefined {
	const now = simulation.scheduler.now();
	const isCut =
		now < simulation.cutToGateUntil || now < simulation.cutToCallerUntil;
	if (!host.isGateAlive || isCut) {
		return undefined;
	}

	const connection = {
		isBroken: false,
		losesRequests: false,
		losesResponses: false,
		onBroken,
	};
	host.connections.add(connection);
	return connection;
}

/**
 * Breaks a connection; notifies the caller's node unless messages to it are
 * lost.
 *
 * @param simulation - the simulation of the case
 * @param connection - the connection
 */
export function breakConnection(
	simulation: Simulation,
	connection: FakeConnection,
): void {
	const {scheduler} = simulation;
	if (connection.isBroken) {
		return;
	}

	connection.isBroken = true;
	const isCut = scheduler.now() < simulation.cutToCallerUntil;
	if (!connection.losesResponses && !isCut) {
		scheduler.schedule(latencyMs, connection.onBroken);
	}
}

/**
 * Sends a message to a gate, unless the connection loses it.
 *
 * @param simulation - the simulation of the case
 * @param connection - the connection
 * @param action - delivers the message
 */
export function sendToGate(
	simulation: Simulation,
	connection: FakeConnection,
	action: () => void,
): void {
	const {scheduler} = simulation;
	scheduler.schedule(latencyMs + scheduler.random() * jitterMs, () => {
		const isCut = scheduler.now() < simulation.cutToGateUntil;
		if (!connection.isBroken && !connection.losesRequests && !isCut) {
			action();
		}
	});
}

/**
 * Sends a message to the caller's node, unless the connection loses it.
 *
 * @param simulation - the simulation of the case
 * @param connection - the connection
 * @param action - delivers the message
 */
export function sendToCaller(
	simulation: Simulation,
	connection: FakeConnection,
	action: () => void,
): void {
	const {scheduler} = simulation;
	const delayMs = latencyMs + scheduler.random() * jitterMs;
	scheduler.schedule(delayMs + simulation.responseDelayMs, () => {
		const isCut = scheduler.now() < simulation.cutToCallerUntil;
		if (!connection.isBroken && !connection.losesResponses && !isCut) {
			action();
		}
	});
}
