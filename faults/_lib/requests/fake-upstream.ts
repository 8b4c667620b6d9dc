import type {FakeHost, Simulation} from './simulation.js';

/** Outcome of a request to the upstream, as the gate sees it. */
export type UpstreamOutcome =
	'not-sent' | 'shed' | 'lost' | 'truncated' | 'whole';

const latencyMs = 0.2;

/**
 * Sends a request to a host's upstream, which records when it starts to run.
 *
 * @param simulation - the simulation of the case
 * @param host - the host
 * @param requestId - identifier of the request
 * @param onEnd - called with the outcome; not called if the upstream does not
 *   respond
 */
export function callUpstream(
	simulation: Simulation,
	host: FakeHost,
	requestId: string,
	onEnd: (end: UpstreamOutcome) => void,
): void {
	const {scheduler} = simulation;
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

		simulation.onStep('run', requestId, {host});
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

			simulation.onStep('answer', requestId, {host});
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
