import TinyQueue from 'tinyqueue';
import type {Scheduler} from '../../../harness/create-scheduler.js';

/** Processor time of a step, and what happens at its end. */
export type LoopWork = {
	readonly costMs: number;
	readonly finish?: () => void;
};

/** How the first request on a connection came to be read. */
export type AcceptedRequest = {
	/** Longest wait of the connection until it was read from, ms. */
	readonly acceptWaitMs: number;
	/** When it was read from, ms. */
	readonly releasedAt: number;
};

/** A step of a node; decides when it starts how much work it is. */
export type LoopTask = () => LoopWork | undefined;

/** Options of `createEventLoop`. */
export type EventLoopOptions = {
	readonly scheduler: Scheduler;
	/** Share of a core. */
	readonly share: number;
	/** Factor of all costs at the moment. */
	readonly readCostFactor: () => number;
	/** Cost of accepting a connection, ms. */
	readonly acceptMs: number;
	/** Connections accepted in a turn. */
	readonly acceptsPerTurn: number;
	/** Accepted connections that are read from in a turn. */
	readonly releasesPerTurn: number;
	/** Time of a turn that deferred tasks may take, ms. */
	readonly deferredMs: number;
};

/** An event loop whose steps take processor time. */
export type EventLoop = {
	/** Takes in a new connection, on which the task is read. */
	accept(task: (accepted: AcceptedRequest) => LoopWork): void;
	/** Takes in bytes on an open connection. */
	read(task: LoopTask): void;
	/** Runs a task once a delay is over; returns a function that cancels it. */
	startTimer(delayMs: number, task: LoopTask): () => void;
	/** Runs a task after what can be read, in ascending order of rank. */
	defer(rank: number, task: LoopTask): void;
	/** Adds to the cost of the current step, ms. */
	charge(costMs: number): void;
	/** Reads the lag as `createLagMeter` measures it, ms. */
	readLag(): number;
	/** Reads the longest time for which bytes may have waited unread, as `createLagMeter` measures it, ms. */
	readMaxWait(): number;
	/** Reads the processor time used so far, ms of a whole core. */
	readUsedMs(): number;
	/** Reads the share of the recent time in which the processor was busy. */
	readBusyShare(): number;
	/** Reads the number of deferred tasks. */
	readDeferred(): number;
	stop(): void;
};

type DeferredTask = {
	readonly rank: number;
	readonly number: number;
	readonly task: LoopTask;
};

type HeldConnection = {
	readonly task: (accepted: AcceptedRequest) => LoopWork;
	/** Earliest time at which it may have arrived, ms. */
	readonly since: number;
};

const lagPeriodMs = 25;
const lagDecayFactor = 0.7;
const maxReleaseIntervalMs = 50;
const busyWindowMs = 300;
/** A step that only takes the time that was charged before. */
function payExtra(): LoopWork {
	return {costMs: 0};
}

/** Time of a turn that finds nothing to do, ms. */
const idleTurnMs = 0.05;

/**
 * Creates an event loop in virtual time. Each turn runs the timers that are due,
 * accepts a connection, and reads what had arrived when the turn began. New
 * connections are held as `createAcceptQueue` holds them.
 *
 * @param options - see `EventLoopOptions`
 * @returns the loop, idle
 */
export function createEventLoop(options: EventLoopOptions): EventLoop {
	const {scheduler, share, readCostFactor, acceptMs} = options;
	const {now} = scheduler;
	const dueTimers: LoopTask[] = [];
	let readable: LoopTask[] = [];
	const backlog: Array<Parameters<EventLoop['accept']>[0]> = [];
	const held: HeldConnection[] = [];
	/** Last time at which no connection waited to be accepted. */
	let lastEmptyAt = now();
	const deferred = new TinyQueue<DeferredTask>(
		[],
		(a, b) => a.rank - b.rank || a.number - b.number,
	);
	let deferredNumber = 0;
	let isRunning = false;
	let isStopped = false;
	let releasedAt = 0;
	let extraMs = 0;
	let usedMs = 0;
	let busy = {ms: 0, at: 0};
	let lagAt = now();
	let lagMs = 0;
	let lastLagMs = 0;

	function recordBusy(durationMs: number): void {
		const kept = Math.exp((busy.at - now()) / busyWindowMs);
		busy = {ms: busy.ms * kept + durationMs, at: now()};
	}

	function computeExcess(): number {
		return Math.max(0, now() - lagAt - lagPeriodMs);
	}

	function measureLag(): LoopWork {
		lastLagMs = computeExcess();
		lagMs = Math.max(lastLagMs, lagMs * lagDecayFactor);
		lagAt = now();
		startTimer(lagPeriodMs, measureLag);
		return {costMs: 0};
	}

	function wake(): void {
		if (!isRunning && !isStopped) {
			isRunning = true;
			runTurn();
		}
	}

	function takeAccepts(): readonly LoopTask[] {
		return backlog.splice(0, options.acceptsPerTurn).map((task) => () => {
			held.push({task, since: lastEmptyAt});
			return {costMs: acceptMs};
		});
	}

	function runTurn(): void {
		const accepts = takeAccepts();
		const batch = [...dueTimers.splice(0), ...accepts, ...readable];
		readable = [];
		if (accepts.length > 0 && held.length === 0) {
			releasedAt = now();
			lastEmptyAt = now() - lastLagMs - computeExcess();
		}

		if (batch.length === 0 && deferred.length === 0 && held.length === 0) {
			isRunning = false;
			return;
		}

		runNext(batch, 0, {hasAccepted: accepts.length > 0, deferredMs: 0});
	}

	/** Runs the next task of a turn. */
	function runNext(
		batch: readonly LoopTask[],
		index: number,
		turn: {readonly hasAccepted: boolean; readonly deferredMs: number},
	): void {
		if (index < batch.length) {
			run(batch[index]!, () => {
				runNext(batch, index + 1, turn);
			});
			return;
		}

		if (extraMs > 0) {
			run(payExtra, () => {
				runNext(batch, index, turn);
			});
			return;
		}

		if (turn.deferredMs >= options.deferredMs || deferred.length === 0) {
			endTurn(turn.hasAccepted, batch.length === 0);
			return;
		}

		const startedAt = now();
		run(deferred.pop()!.task, () => {
			const deferredMs = turn.deferredMs + now() - startedAt;
			runNext(batch, index, {...turn, deferredMs});
		});
	}

	function run(task: LoopTask, next: () => void): void {
		const work = task();
		const costMs = (extraMs + (work?.costMs ?? 0)) * readCostFactor();
		extraMs = 0;
		if (!work || costMs === 0) {
			work?.finish?.();
			next();
			return;
		}

		const durationMs = costMs / share;
		usedMs += costMs;
		scheduler.schedule(durationMs, () => {
			if (isStopped) {
				return;
			}

			recordBusy(durationMs);
			work.finish?.();
			next();
		});
	}

	function endTurn(hasAccepted: boolean, isIdle: boolean): void {
		if (!hasAccepted) {
			lastEmptyAt = now();
		}

		const isDue = now() - releasedAt >= maxReleaseIntervalMs;
		if (held.length > 0 && (!hasAccepted || isDue)) {
			releasedAt = now();
			for (const {task, since} of held.splice(0, options.releasesPerTurn)) {
				const accepted = {
					acceptWaitMs: releasedAt - since,
					releasedAt,
				};
				readable.push(() => task(accepted));
			}
		}

		scheduler.schedule(isIdle ? idleTurnMs : 0, () => {
			if (!isStopped) {
				runTurn();
			}
		});
	}

	function startTimer(delayMs: number, task: LoopTask): () => void {
		let isCancelled = false;
		const cancel = scheduler.schedule(delayMs, () => {
			if (!isStopped) {
				dueTimers.push(() => (isCancelled ? undefined : task()));
				wake();
			}
		});
		return () => {
			isCancelled = true;
			cancel();
		};
	}

	startTimer(lagPeriodMs, measureLag);
	return {
		accept(task) {
			backlog.push(task);
			wake();
		},
		read(task) {
			readable.push(task);
			wake();
		},
		startTimer,
		defer(rank, task) {
			deferred.push({rank, number: deferredNumber++, task});
		},
		charge(costMs) {
			extraMs += costMs;
		},
		readLag: () => Math.max(lagMs, computeExcess()),
		readMaxWait: () => lastLagMs + computeExcess(),
		readUsedMs: () => usedMs,
		readBusyShare() {
			recordBusy(0);
			return Math.min(1, busy.ms / busyWindowMs);
		},
		readDeferred: () => deferred.length,
		stop() {
			isStopped = true;
		},
	};
}
