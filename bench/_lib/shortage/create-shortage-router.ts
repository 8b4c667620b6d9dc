import {isAvailable} from '../../../src/coordination/is-available.js';
import {isCapacityRefusal} from '../../../src/coordination/is-capacity-refusal.js';
import {isKnownFull} from '../../../src/coordination/is-known-full.js';
import {isUnreachable} from '../../../src/coordination/is-unreachable.js';
import {
	stepHostRecord,
	type HostMessage,
	type HostRecord,
} from '../../../src/coordination/step-host-record.js';
import {
	latencyRefreshMs,
	msPerSecond,
} from '../../../src/protocol/constants.js';
import type {Candidate} from '../../../src/protocol/member.js';
import {computeMedian} from '../../../src/transport/_lib/compute-median.js';
import type {AttemptEnd} from './shortage-attempt.js';
import type {ShortageDecisions} from './shortage-decisions.js';
import type {RequestClass, ShortageHost} from './shortage-parameters.js';

/** Options of `createShortageRouter`. */
export type ShortageRouterOptions = {
	readonly host: ShortageHost;
	readonly decisions: ShortageDecisions;
	readonly listCandidates: (service: string) => readonly Candidate[];
	readonly readLag: () => number;
	readonly now: () => number;
	readonly random: () => number;
};

/** Hosts as a caller's node knows them. */
export type ShortageRouter = {
	/** Picks a host and records that it is sent an attempt; `full` when all refuse such requests. */
	pick(
		requestClass: RequestClass,
		admissionClass: string,
		tried: Set<string>,
	): Candidate | 'full' | undefined;
	hasAvailable(
		requestClass: RequestClass,
		admissionClass: string,
		tried: ReadonlySet<string>,
	): boolean;
	/** Reads the highest event loop lag that a host has stated lately, ms. */
	readMaxLag(): number;
	recordEnd(
		host: string,
		end: AttemptEnd,
		details: {
			readonly requestClass: RequestClass;
			readonly admissionClass: string;
			readonly latencyMs: number;
		},
	): void;
};

function classifyEnd(
	end: AttemptEnd,
): (HostMessage & {readonly kind: 'ended'})['outcome'] {
	switch (end.kind) {
		case 'answered': {
			return end.status === 200 ? 'answered' : 'failed';
		}

		case 'lost': {
			return 'failed';
		}

		case 'not-run': {
			return isCapacityRefusal(end.reason) ? 'full' : 'refused';
		}
	}
}

/** Age at which the lag of a host is no longer known, ms. */
const lagExpiryMs = 500;

/**
 * Creates the record of hosts of a caller's node in virtual time, round the
 * product's decisions.
 *
 * @param options - see `ShortageRouterOptions`
 * @returns the router, which knows no loads yet
 */
export function createShortageRouter(
	options: ShortageRouterOptions,
): ShortageRouter {
	const {host: own, decisions, listCandidates, now, random} = options;
	const records = new Map<string, HostRecord>();
	const lags = new Map<string, {readonly ms: number; readonly at: number}>();
	const latencies = new Map<
		string,
		{readonly ms: number; readonly at: number}
	>();

	function readServiceLatency(service: string): number {
		const known = latencies.get(service);
		if (known && now() - known.at < latencyRefreshMs) {
			return known.ms;
		}

		const ms = computeMedian(
			listCandidates(service)
				.map(({host}) => records.get(host)?.latencyMs ?? 0)
				.filter((latencyMs) => latencyMs > 0),
		);
		latencies.set(service, {ms, at: now()});
		return ms;
	}

	function step(host: string, service: string, message: HostMessage): void {
		const context = {
			now: now(),
			random: random(),
			serviceLatencyMs:
				message.kind === 'ended' ? readServiceLatency(service) : 0,
		};
		records.set(host, stepHostRecord(records.get(host), message, context));
	}

	function isFull(service: string, admissionClass: string): boolean {
		const at = now();
		const reachable = listCandidates(service)
			.map(({host}) => records.get(host))
			.filter((record) => !isUnreachable(record, at));
		return (
			reachable.length > 0 &&
			reachable.every((record) => isKnownFull(record, admissionClass, at))
		);
	}

	return {
		pick({service, name, objectiveMs}, admissionClass, tried) {
			if (decisions.hasGateAdmission && isFull(service, admissionClass)) {
				return 'full';
			}

			const picked = decisions.pickHost({
				candidates: listCandidates(service),
				records,
				random,
				options: {
					dataCentre: own.dataCentre,
					now: now(),
					exclude: tried,
					objectiveMs,
					route: name,
					admissionClass,
				},
				host: own.name,
				lags,
				ownLagMs: options.readLag(),
			});
			if (picked) {
				tried.add(picked.host);
				const isRemote = picked.host !== own.name;
				step(picked.host, service, {kind: 'sent', isRemote});
			}

			return picked;
		},
		hasAvailable: ({service}, admissionClass, tried) =>
			listCandidates(service).some(
				({host}) =>
					!tried.has(host) &&
					isAvailable(records.get(host), admissionClass, now()),
			),
		readMaxLag() {
			let maxMs = 0;
			for (const {ms, at} of lags.values()) {
				if (now() - at < lagExpiryMs) {
					maxMs = Math.max(maxMs, ms);
				}
			}

			return maxMs;
		},
		recordEnd(host, end, {requestClass, admissionClass, latencyMs}) {
			if (end.kind !== 'lost') {
				lags.set(host, {ms: end.lagMs, at: now()});
			}

			step(host, requestClass.service, {
				kind: 'ended',
				outcome: classifyEnd(end),
				isFromHost: end.kind !== 'lost',
				latencyMs,
				route: requestClass.name,
				admissionClass,
				retryAfterMs:
					end.kind === 'not-run'
						? end.retryAfterSeconds * msPerSecond
						: undefined,
				load: end.load,
			});
		},
	};
}
