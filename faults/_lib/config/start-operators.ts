import type {
	Manifest,
	Submission,
	SubmissionOutcome,
} from '../../../src/protocol/configuration.js';
import {manifestSchema} from '../../../src/protocol/manifest.js';
import type {Simulation} from './config-simulation.js';

/** The outcome of a submission that an operator got. */
export type OperatorOutcome = {
	readonly submission: Submission;
	readonly outcome: SubmissionOutcome;
	/** Whether the outcome answers the first send, not a repeated one. */
	readonly isSentOnce: boolean;
};

/** Options of `startOperators`. */
export type OperatorsOptions = {
	readonly endMs: number;
	/** Called with each outcome that an operator gets. */
	readonly onOutcome: (outcome: OperatorOutcome) => void;
};

const answerTimeoutMs = 6000;
const pauseMs = 700;

function createManifest(
	team: string,
	replaces: number,
	seed: number,
): Manifest {
	return manifestSchema.parse({
		team,
		replaces,
		services: {main: {}, [`side-${seed % 3}`]: {}},
		policies: {lookup: {repeatable: true, deadlineMs: 100 + (seed % 900)}},
		routes: [
			{name: 'main', path: `/${team}/main`, service: 'main', policy: 'lookup'},
			{
				name: 'side',
				path: `/${team}/side`,
				service: `side-${seed % 3}`,
				policy: 'lookup',
			},
		],
	});
}

/**
 * Creates operators that each submit one manifest after another until a time.
 *
 * An operator whose outcome is `unknown` or missing repeats the submission with
 * the same identifier at a random node; after a refusal it submits a new
 * manifest based on the current revision that the refusal names. After
 * `unavailable` it does either, at random.
 *
 * @param simulation - the simulation
 * @param options - see `OperatorsOptions`
 * @returns a function that starts one more operator of a team
 */
export function startOperators(
	simulation: Simulation,
	options: OperatorsOptions,
): (team: string) => void {
	const {scheduler} = simulation;
	let lastOperator = 0;

	function startOperator(team: string): void {
		lastOperator++;
		const operator = lastOperator;
		let revision = 0;
		let count = 0;

		function submitNext(): void {
			if (scheduler.now() < options.endMs) {
				count++;
				const submissionId = `${team}-${operator}-${count}`;
				const seed = Math.floor(scheduler.random() * 900);
				const manifest = createManifest(team, revision, seed);
				send({submissionId, manifest}, true);
			}
		}

		function send(submission: Submission, isSentOnce: boolean): void {
			const nodes = [...simulation.nodes.values()];
			const node = nodes[Math.floor(scheduler.random() * nodes.length)]!;
			let isAnswered = false;
			const cancel = scheduler.schedule(answerTimeoutMs, () => {
				isAnswered = true;
				send(submission, false);
			});
			node.receive(() => {
				node.submit(submission, (outcome) => {
					if (!isAnswered) {
						isAnswered = true;
						cancel();
						handleOutcome(submission, outcome, isSentOnce);
					}
				});
			});
		}

		function handleOutcome(
			submission: Submission,
			outcome: SubmissionOutcome,
			isSentOnce: boolean,
		): void {
			options.onOutcome({submission, outcome, isSentOnce});
			const resend = (): void => {
				send(submission, false);
			};

			switch (outcome.kind) {
				case 'accepted': {
					revision = Math.max(revision, outcome.revision);
					scheduler.schedule(scheduler.random() * pauseMs, submitNext);
					break;
				}

				case 'refused': {
					revision = outcome.currentRevision;
					scheduler.schedule(scheduler.random() * pauseMs, submitNext);
					break;
				}

				case 'unavailable': {
					const shouldResend = scheduler.random() < 0.5;
					scheduler.schedule(pauseMs, shouldResend ? resend : submitNext);
					break;
				}

				case 'unknown': {
					scheduler.schedule(pauseMs, resend);
					break;
				}
			}
		}

		submitNext();
	}

	return startOperator;
}
