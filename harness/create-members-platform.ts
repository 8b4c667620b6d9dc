import type {
	MembersEffect,
	SeedsOutcome,
	SeedsWatchOutcome,
} from '../src/coordination/members-state.js';
import type {Scheduler} from './create-scheduler.js';

type SeedsObject = {
	readonly addresses: readonly string[];
	readonly memberCount: number;
	readonly writtenMs: number;
	readonly version: number;
};

type WriteEffect = Extract<MembersEffect, {readonly kind: 'write-seeds'}>;
type WatchEffect = Extract<MembersEffect, {readonly kind: 'watch-seeds'}>;

const latencyMs = 5;
const msPerSecond = 1000;

/**
 * Creates a stand-in for the platform's seeds objects on a scheduler.
 *
 * @param scheduler - owns the time
 * @returns reads and conditional writes, a switch for outages, and call counts
 * @example
 * createMembersPlatform(createScheduler(1)).setDown(true);
 */
export function createMembersPlatform(scheduler: Scheduler) {
	const objects = new Map<string, SeedsObject>();
	const callsBySecond = new Map<number, number>();
	const writes: Array<{
		readonly dataCentre: string;
		readonly atMs: number;
	}> = [];
	const watches = new Set<() => void>();
	let isDown = false;
	let revision = 1;

	function endWatches(): void {
		for (const end of watches) {
			end();
		}
	}

	function countCall(): void {
		const second = Math.floor(scheduler.now() / msPerSecond);
		callsBySecond.set(second, (callsBySecond.get(second) ?? 0) + 1);
	}

	return {
		writes,
		readPeakCallsPerSecond: () => Math.max(0, ...callsBySecond.values()),
		/** Puts an object in place, as if written before the start. */
		put(dataCentre: string, object: SeedsObject): void {
			objects.set(dataCentre, object);
			revision++;
			endWatches();
		},
		setDown(value: boolean): void {
			isDown = value;
			endWatches();
		},
		read(dataCentre: string, onOutcome: (outcome: SeedsOutcome) => void): void {
			countCall();
			scheduler.schedule(latencyMs, () => {
				if (isDown) {
					onOutcome({kind: 'unavailable'});
					return;
				}

				const own = objects.get(dataCentre);
				onOutcome({
					kind: 'read',
					addresses: [...objects.values()].flatMap(({addresses}) => addresses),
					memberCount: own?.memberCount ?? 0,
					writtenMs: own?.writtenMs ?? 0,
					version: own?.version,
					localAddresses: own?.addresses ?? [],
					revision,
				});
			});
		},
		watch(
			effect: WatchEffect,
			onOutcome: (outcome: SeedsWatchOutcome) => void,
		): void {
			countCall();
			const after = effect.revision;
			const end = (): void => {
				if (watches.delete(end)) {
					const current = revision;
					const isFailed = isDown;
					scheduler.schedule(latencyMs, () => {
						if (isFailed) {
							onOutcome({kind: 'failed'});
							return;
						}

						onOutcome(
							current > after
								? {kind: 'changed'}
								: {kind: 'unchanged', revision: current},
						);
					});
				}
			};

			watches.add(end);
			scheduler.schedule(latencyMs, () => {
				if (isDown || revision > after) {
					end();
				}
			});
			scheduler.schedule(effect.waitMs, end);
		},
		write(dataCentre: string, effect: WriteEffect, writtenMs: number): void {
			countCall();
			scheduler.schedule(latencyMs, () => {
				const known = objects.get(dataCentre);
				if (isDown || known?.version !== effect.version) {
					return;
				}

				const {addresses, memberCount} = effect;
				const version = (known?.version ?? 0) + 1;
				objects.set(dataCentre, {addresses, memberCount, writtenMs, version});
				writes.push({dataCentre, atMs: scheduler.now()});
				revision++;
				endWatches();
			});
		},
	};
}
