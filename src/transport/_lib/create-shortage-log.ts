import {lagThresholdMs, msPerSecond} from '../../protocol/constants.js';
import type {RequestObserver} from '../../protocol/observer.js';
import type {Logger} from '../create-logger.js';
import type {ProcessorUse} from './read-processor-use.js';

/** Options of `createShortageLog`. */
export type ShortageLogOptions = {
	readonly logger: Pick<Logger, 'warn'>;
	/** Returns the processor time that the process has used. */
	readonly readUse: () => ProcessorUse;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Ends of the requests of one route. */
type RouteCounts = {
	answered: number;
	/** Answered with a server error of the upstream. */
	failed: number;
	refused: number;
	unknown: number;
};

type Window = {
	readonly startedAt: number;
	readonly use: ProcessorUse;
	maxLagMs: number;
	isShort: boolean;
	/** Attempts of the requests that have ended. */
	attempts: number;
	/** Requests that their clients had sent before. */
	returned: number;
	returnedRefused: number;
	gateEnded: number;
	/** Refusals before admission, by reason. */
	readonly refusedOnArrival: Record<string, number>;
	readonly gateRefused: Record<string, number>;
	/** Attempts that the gate refused while the upstream had a free slot. */
	gateRefusedFree: number;
	readonly routes: Map<string, RouteCounts>;
};

/** Maximum number of routes in a line. */
const maxRoutes = 16;

const serverErrorStatus = 500;

function countReason(counts: Record<string, number>, reason: string): void {
	counts[reason] = (counts[reason] ?? 0) + 1;
}

/** Returns the counts of a route; undefined when the line has no room for another one. */
function findRouteCounts(
	{routes}: Window,
	route: string,
): RouteCounts | undefined {
	if (!routes.has(route) && routes.size < maxRoutes) {
		routes.set(route, {answered: 0, failed: 0, refused: 0, unknown: 0});
	}

	return routes.get(route);
}

/**
 * Creates an observer that logs, once a second while the node is short of
 * processor time, how much it has used and what it has done with it.
 *
 * A window of at least a second ends with the first event after it. The node is
 * short if it has refused a request as `overloaded` or has read one later than
 * `lagThresholdMs`.
 *
 * @param options - see `ShortageLogOptions`
 * @returns the observer
 */
export function createShortageLog(
	options: ShortageLogOptions,
): RequestObserver {
	const {logger, readUse, now} = options;
	let window = openWindow(now());

	function openWindow(startedAt: number): Window {
		return {
			startedAt,
			use: readUse(),
			maxLagMs: 0,
			isShort: false,
			attempts: 0,
			returned: 0,
			returnedRefused: 0,
			gateEnded: 0,
			refusedOnArrival: {},
			gateRefused: {},
			gateRefusedFree: 0,
			routes: new Map(),
		};
	}

	function closeWindow(at: number): void {
		const {startedAt, use, isShort, maxLagMs, routes, ...counts} = window;
		window = openWindow(at);
		if (!isShort) {
			return;
		}

		logger.warn('node short of processor time', {
			windowMs: Math.round(at - startedAt),
			userMs: Math.round(window.use.userMs - use.userMs),
			systemMs: Math.round(window.use.systemMs - use.systemMs),
			busyMs: Math.round(window.use.busyMs - use.busyMs),
			lagMs: Math.round(maxLagMs),
			...counts,
			routes: Object.fromEntries(routes),
		});
	}

	/** Starts another window when the current one has lasted for a second. */
	function moveTo(at: number): void {
		if (at - window.startedAt >= msPerSecond) {
			closeWindow(at);
		}
	}

	return {
		onRequest(event) {
			const {outcome, isReturned, lagMs, route} = event;
			moveTo(event.startedAtMs + event.durationMs);
			window.attempts += event.attempts;
			window.maxLagMs = Math.max(window.maxLagMs, lagMs);
			window.isShort ||= lagMs >= lagThresholdMs;
			const isRefused = outcome === 'not-run';
			window.returned += Number(isReturned);
			window.returnedRefused += Number(isReturned && isRefused);
			const counts = findRouteCounts(window, route);
			if (!counts) {
				return;
			}

			if (outcome === 'answered') {
				counts.answered++;
				counts.failed += Number(event.status >= serverErrorStatus);
			} else if (isRefused) {
				counts.refused++;
			} else {
				counts.unknown++;
			}
		},
		onRefusal({place, route, reason, isReturned, hasFreeSlot}) {
			moveTo(now());
			window.isShort ||= reason === 'overloaded';
			if (place === 'gate') {
				countReason(window.gateRefused, reason);
				window.gateRefusedFree += Number(hasFreeSlot === true);
				return;
			}

			countReason(window.refusedOnArrival, reason);
			window.returned += Number(isReturned === true);
			window.returnedRefused += Number(isReturned === true);
			const counts =
				route === undefined ? undefined : findRouteCounts(window, route);
			if (counts) {
				counts.refused++;
			}
		},
		onGate(event) {
			moveTo(event.startedAtMs + event.durationMs);
			window.gateEnded++;
		},
	};
}
