import {ObjectStore} from '../../../fakes/object-store.js';
import type {Scheduler} from '../../../harness/create-scheduler.js';
import {logEntrySchema} from '../../../src/protocol/configuration.js';
import {platformTimeoutMs} from '../../../src/protocol/constants.js';
import type {
	PlatformCall,
	PlatformOutcome,
	WriteCondition,
} from '../../../src/protocol/platform.js';
import {logPrefix} from '../../../src/state/format-log-key.js';
import type {FakePlatform} from './config-simulation.js';

type AnswerCallback = (outcome: PlatformOutcome) => void;

const maxLatencyMs = 10;
const maxWatchLatencyMs = 40;
const slowLatencyMs = 4500;

/** Options of `createFakePlatform`. */
export type FakePlatformOptions = {
	/** Called with each status object written. */
	readonly onStatus: (key: string, value: unknown) => void;
	/** Whether writes take effect regardless of their condition. */
	readonly ignoresConditions: boolean;
};

/**
 * Creates a fake platform: the object store of the stand-in for the platform,
 * with faults and without sockets.
 *
 * @param scheduler - clock, order of events and random numbers
 * @param options - see `FakePlatformOptions`
 * @returns the platform
 */
export function createFakePlatform(
	scheduler: Scheduler,
	options: FakePlatformOptions,
): FakePlatform {
	const store = new ObjectStore();
	const log: FakePlatform['log'] = [];
	const statuses: FakePlatform['statuses'] = [];
	const faults: FakePlatform['faults'] = {
		downUntil: 0,
		slowUntil: 0,
		lostAnswerCount: 0,
		areWatchesStalled: false,
		cutUntil: new Map(),
	};
	store.subscribe(({key, value}) => {
		if (key.startsWith(logPrefix) && value !== null) {
			log.push(logEntrySchema.parse(value));
		} else if (key.startsWith('status/')) {
			statuses.push({key, value});
			options.onStatus(key, value);
		}
	});

	function isUnreachable(dataCentre: string): boolean {
		const now = scheduler.now();
		return (
			now < faults.downUntil || now < (faults.cutUntil.get(dataCentre) ?? 0)
		);
	}

	function findExpectedVersion(key: string, condition: WriteCondition): number {
		const version = store.get(key)?.version ?? 0;
		if (options.ignoresConditions) {
			return version;
		}

		switch (condition.kind) {
			case 'absent': {
				return 0;
			}

			case 'present': {
				return version;
			}

			case 'version': {
				return condition.version;
			}
		}
	}

	function write(
		call: Extract<PlatformCall, {kind: 'write' | 'delete'}>,
	): PlatformOutcome {
		const outcome =
			call.kind === 'delete'
				? store.remove(call.key, call.version)
				: store.write(
						call.key,
						findExpectedVersion(call.key, call.condition),
						call.value,
					);
		if (!outcome.done) {
			return {kind: 'conflict'};
		}

		if (faults.lostAnswerCount > 0 && call.kind === 'write') {
			faults.lostAnswerCount--;
			return {kind: 'unknown'};
		}

		return {kind: 'written', version: outcome.version};
	}

	function watch(
		dataCentre: string,
		call: Extract<PlatformCall, {kind: 'watch'}>,
		answer: AnswerCallback,
	): void {
		const finish = (): void => {
			const items = store.readChanges(call.prefix, call.after);
			if (!faults.areWatchesStalled && !isUnreachable(dataCentre)) {
				unsubscribe();
				answer(
					items
						? {kind: 'items', items, revision: store.revision, more: false}
						: {kind: 'compacted'},
				);
			}
		};

		const unsubscribe = store.subscribe(({key}) => {
			if (key.startsWith(call.prefix)) {
				scheduler.schedule(scheduler.random() * maxWatchLatencyMs, finish);
			}
		});
		const known = store.readChanges(call.prefix, call.after);
		scheduler.schedule(known?.length === 0 ? call.waitMs : 1, finish);
	}

	function execute(
		dataCentre: string,
		call: PlatformCall,
		answer: AnswerCallback,
	): void {
		switch (call.kind) {
			case 'write':
			case 'delete': {
				answer(write(call));
				break;
			}

			case 'read': {
				const object = store.get(call.key);
				answer(object ? {kind: 'found', object} : {kind: 'absent'});
				break;
			}

			case 'list': {
				const page = store.list(call.prefix, call.after, call.limit);
				answer({kind: 'items', ...page});
				break;
			}

			case 'watch': {
				watch(dataCentre, call, answer);
				break;
			}
		}
	}

	return {
		log,
		statuses,
		faults,
		call(dataCentre, call, answer) {
			let isAnswered = false;
			const answerOnce: AnswerCallback = (outcome) => {
				if (!isAnswered) {
					isAnswered = true;
					answer(outcome);
				}
			};

			const isWrite = call.kind === 'write' || call.kind === 'delete';
			const isSlow = scheduler.now() < faults.slowUntil;
			const latencyMs =
				scheduler.random() * (isSlow ? slowLatencyMs : maxLatencyMs);
			const timeoutMs =
				platformTimeoutMs + (call.kind === 'watch' ? call.waitMs : 0);
			scheduler.schedule(timeoutMs, () => {
				answerOnce({kind: isWrite ? 'unknown' : 'unavailable'});
			});
			scheduler.schedule(latencyMs, () => {
				if (!isUnreachable(dataCentre)) {
					execute(dataCentre, call, (outcome) => {
						scheduler.schedule(1, () => {
							answerOnce(outcome);
						});
					});
					return;
				}

				const mayHaveTakenEffect = isWrite && scheduler.random() < 0.5;
				answerOnce({kind: mayHaveTakenEffect ? 'unknown' : 'unavailable'});
			});
		},
	};
}
