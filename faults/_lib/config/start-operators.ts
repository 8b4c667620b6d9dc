import type {
	Manifest,
	Submission,
	SubmissionOutcome,
} from '../../../src/protocol/configuration.js';
import {manifestSchema} from '../../../src/protocol/manifest.js';
import type {Simulation} from './config-simulation.js';

/** What an operator was told of one submission in the end. */
export type OperatorOutcome = {
	readonly submission: Submission;
	readonly outcome: SubmissionOutcome;
	/** Whether the operator has never been told, or asked, otherwise. */
	readonly isSentOnce: boolean;
};

/** Options of `startOperators`. */
export type OperatorsOptions = {
	readonly endMs: number;
	/** Called with each answer that an operator got. */
	readonly onOutcome: (verdict: OperatorOutcome) => void;
};

const giveUpMs = 6000;
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
 * Starts operators that each submit again and again until a time.
 *
 * An operator whose answer is `unknown` or missing repeats the submission
 * with the same identifier at another node; a refused one takes the revision
 * that it was told and submits a new manifest.
 *
 * @param world - the world
 * @param options - see `OperatorsOptions`
 * @returns starts one more operator of a team
 */
export function startOperators(
	world: Simulation,
	options: OperatorsOptions,
): (team: string) => void {
	const {scheduler} = world;
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

		function send(submission: Submission, isOnly: boolean): void {
			const nodes = [...world.nodes.values()];
			const node = nodes[Math.floor(scheduler.random() * nodes.length)]!;
			let isAnswered = false;
			const cancel = scheduler.schedule(giveUpMs, () => {
				isAnswered = true;
				send(submission, false);
			});
			node.receive(() => {
				node.submit(submission, (outcome) => {
					if (!isAnswered) {
						isAnswered = true;
						cancel();
						handle(submission, outcome, isOnly);
					}
				});
			});
		}

		function handle(
			submission: Submission,
			outcome: SubmissionOutcome,
			isSentOnce: boolean,
		): void {
			options.onOutcome({submission, outcome, isSentOnce});
			const again = (): void => {
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
					const isPatient = scheduler.random() < 0.5;
					scheduler.schedule(pauseMs, isPatient ? again : submitNext);
					break;
				}

				case 'unknown': {
					scheduler.schedule(pauseMs, again);
					break;
				}
			}
		}

		submitNext();
	}

	return startOperator;
}
