import type {FakeHost, Simulation} from './simulation.js';

/** What the gate learns of a request to its upstream. */
export type UpstreamOutcome =
	'not-sent' | 'shed' | 'lost' | 'truncated' | 'whole';

const latencyMs = 0.2;

/**
 * Sends a request to a host's upstream, which counts its start.
 *
 * @param world - the case's world
 * @param host - the host
 * @param requestId - the request
 * @param onEnd - told once how it ended
 */
export function callUpstream(
	world: Simulation,
	host: FakeHost,
	requestId: string,
	onEnd: (end: UpstreamOutcome) => void,
): void {
	const {scheduler} = world;
	const sentAt = scheduler.now();
	const finish = (end: UpstreamOutcome): void => {
		scheduler.schedule(latencyMs, () => {
			onEnd(end);
		});
	};

	const start = (): void => {
		if (scheduler.now() < host.upstreamFrozenUntil) {
			scheduler.schedule(host.upstreamFrozenUntil - scheduler.now(), start);
			return;
		}

		if (host.isUnresponsive) {
			return;
		}

		if (host.isShedding) {
			finish('shed');
			return;
		}

		world.onStep('run', requestId, {host});
		if (!host.isUpstreamAlive) {
			finish('lost');
			return;
		}

		host.starts.push({requestId, sentAt});
		const generation = host.upstreamGeneration;
		const end = (): void => {
			if (scheduler.now() < host.upstreamFrozenUntil) {
				scheduler.schedule(host.upstreamFrozenUntil - scheduler.now(), end);
				return;
			}

			world.onStep('answer', requestId, {host});
			if (host.isUnresponsive) {
				return;
			}

			const isSame = host.upstreamGeneration === generation;
			finish(
				isSame ? (host.truncatesResponses ? 'truncated' : 'whole') : 'lost',
			);
		};

		scheduler.schedule(host.serviceMs, end);
	};

	if (host.isUpstreamAlive) {
		scheduler.schedule(latencyMs, start);
	} else {
		finish('not-sent');
	}
}
