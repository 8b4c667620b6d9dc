import type {FakeConnection, FakeHost, Simulation} from './simulation.js';

const latencyMs = 0.5;
const jitterMs = 0.5;

/**
 * Opens a connection from the caller's node to a host's gate.
 *
 * @param world - the case's world
 * @param host - the host
 * @param onBroken - told when the connection breaks
 * @returns the connection, or undefined when the gate does not accept it
 */
export function openConnection(
	world: Simulation,
	host: FakeHost,
	onBroken: () => void,
): FakeConnection | undefined {
	const now = world.scheduler.now();
	const isCut = now < world.cutToGateUntil || now < world.cutToCallerUntil;
	if (!host.isGateAlive || isCut) {
		return undefined;
	}

	const connection = {
		isBroken: false,
		losesRequests: false,
		losesAnswers: false,
		onBroken,
	};
	host.connections.add(connection);
	return connection;
}

/**
 * Breaks a connection; the caller's node learns of it unless it is cut off.
 *
 * @param world - the case's world
 * @param connection - the connection
 */
export function breakConnection(
	world: Simulation,
	connection: FakeConnection,
): void {
	const {scheduler} = world;
	if (connection.isBroken) {
		return;
	}

	connection.isBroken = true;
	const isSilent = scheduler.now() < world.cutToCallerUntil;
	if (!connection.losesResponses && !isSilent) {
		scheduler.schedule(latencyMs, connection.onBroken);
	}
}

/**
 * Carries a message to a gate, unless the connection loses it.
 *
 * @param world - the case's world
 * @param connection - the connection
 * @param action - delivers the message
 */
export function sendToGate(
	world: Simulation,
	connection: FakeConnection,
	action: () => void,
): void {
	const {scheduler} = world;
	scheduler.schedule(latencyMs + scheduler.random() * jitterMs, () => {
		const isCut = scheduler.now() < world.cutToGateUntil;
		if (!connection.isBroken && !connection.losesRequests && !isCut) {
			action();
		}
	});
}

/**
 * Carries a message to the caller's node, unless the connection loses it.
 *
 * @param world - the case's world
 * @param connection - the connection
 * @param action - delivers the message
 */
export function sendToCaller(
	world: Simulation,
	connection: FakeConnection,
	action: () => void,
): void {
	const {scheduler} = world;
	const delayMs = latencyMs + scheduler.random() * jitterMs;
	scheduler.schedule(delayMs + world.responseDelayMs, () => {
		const isCut = scheduler.now() < world.cutToCallerUntil;
		if (!connection.isBroken && !connection.losesResponses && !isCut) {
			action();
		}
	});
}
