import {computeGateTime} from '../../coordination/compute-gate-time.js';
import {computeHostRateLimitWait} from '../../coordination/compute-host-rate-limit-wait.js';
import {isCapacityRefusal} from '../../coordination/is-capacity-refusal.js';
import {isKnownFull} from '../../coordination/is-known-full.js';
import {isUnreachable} from '../../coordination/is-unreachable.js';
import {isAvailable} from '../../coordination/is-available.js';
import {pickHost, type PickOptions} from '../../coordination/pick-host.js';
import {pickKeyHost} from '../../coordination/pick-key-host.js';
import {
	stepGateClock,
	type GateClock,
} from '../../coordination/step-gate-clock.js';
import {
	stepHostRecord,
	type HostMessage,
	type HostRecord,
} from '../../coordination/step-host-record.js';
import {
	stepRetryBudget,
	type RetryBudget,
	type RetryBudgetOptions,
} from '../../coordination/step-retry-budget.js';
import {
	stepUpstreamNotice,
	type CachedNotice,
} from '../../coordination/step-upstream-notice.js';
import type {ForwardResult, GateLoad} from '../../protocol/attempt.js';
import {
	latencyRefreshMs,
	msPerSecond,
	notableBodyBytes,
	stampLifetimeMs,
	upstreamTombstoneMs,
	usualLinkMbps,
} from '../../protocol/constants.js';
import type {Candidate, MembersView} from '../../protocol/member.js';
import type {OutcomeReason} from '../../protocol/request.js';
import type {GateStamp} from '../../protocol/stamp.js';
import type {Forwarder} from '../create-forwarder.js';
import type {Logger} from '../create-logger.js';
import type {GateTask} from '../start-gate-task.js';
import {computeMedian} from './compute-median.js';
import type {GateClient} from './gate-client.js';
import type {AttemptEnd} from './run-request.js';

/** Options of `createServiceRouter`. */
export type ServiceRouterOptions = {
	readonly name: string;
	readonly dataCentre: string;
	readonly gate: GateTask;
	readonly forwarder: Forwarder;
	readonly logger: Logger;
	/** Rate of the own host's link, Mbit/s; usual when absent. */
	readonly linkMbps?: number | undefined;
	/** Monotonic ms. */
	readonly now: () => number;
	readonly random: () => number;
	/** Bounds of the retries of this node, given the number of all nodes. */
	readonly computeRetryBudget?: (members: number) => RetryBudgetOptions;
};

/** Picks gates for one request. */
export type GateSelection = {
	/** Picks a gate that was not tried yet, if there is one. */
	pickGate(): GateClient | OutcomeReason;
	/** Whether a host that was not tried yet is not known to be full. */
	hasAvailableHost(): boolean;
	/** Least wait for a turn under the rate limits of the hosts in reach, ms. */
	readRateLimitWait(): number;
	/**
	 * Gets a new stamp of the gate that will be picked first, for a request that
	 * cannot be sent again after a refused stamp.
	 */
	refreshStamp(): Promise<void>;
};

/** What of a request's route matters for its host. */
export type HostCriteria = Pick<
	PickOptions,
	'objectiveMs' | 'route' | 'admissionClass'
> & {
	/** Length of the request's body, bytes; 0 when absent. */
	readonly bodyBytes?: number;
};

/** What a caller's node knows of hosts, and the budgets of its retries. */
export type ServiceRouter = {
	updateMembers(view: MembersView): void;
	select(
		service: string,
		key: string | undefined,
		terms?: HostCriteria,
	): GateSelection;
	/** Notes the end of an attempt; `demand` names requests that hosts admit alike. */
	recordAttempt(end: AttemptEnd, now: number, demand?: string): void;
	recordRequest(team: string, service: string): void;
	readRetryBudget(team: string, service: string): number;
	spendRetryBudget(team: string, service: string): void;
};

type Ended = HostMessage & {readonly kind: 'ended'};

type HeldStamp = {
	readonly stamp: GateStamp;
	readonly receivedAt: number;
	readonly clock: GateClock;
};

const serverErrorStatus = 500;

function judgeRefusal(reason: OutcomeReason): Ended['outcome'] {
	if (reason === 'not-sent') {
		return 'unreachable';
	}

	return isCapacityRefusal(reason) ? 'full' : 'refused';
}

function judgeResult(result: ForwardResult): Ended['outcome'] {
	switch (result.kind) {
		case 'answered': {
			return result.status >= serverErrorStatus ? 'failed' : 'answered';
		}

		case 'not-run': {
			return judgeRefusal(result.reason);
		}

		case 'unknown':
		case 'lost': {
			return result.reason === 'cancelled' ? 'refused' : 'failed';
		}
	}
}

/**
 * Creates a caller's node's knowledge of hosts.
 *
 * @param options - see `ServiceRouterOptions`
 * @returns the router, with no hosts known
 */
export function createServiceRouter(
	options: ServiceRouterOptions,
): ServiceRouter {
	const {name, dataCentre, gate, forwarder, logger, now, random} = options;
	const {linkMbps = usualLinkMbps} = options;
	const records = new Map<string, HostRecord>();
	const stamps = new Map<string, HeldStamp>();
	// Kept beyond the records: a host that starts again is gone for a time.
	const notices = new Map<string, CachedNotice>();
	const budgets = new Map<string, RetryBudget>();
	const latencies = new Map<
		string,
		{readonly ms: number; readonly at: number}
	>();
	let candidates: MembersView['candidates'] = new Map();
	let budgetOptions = options.computeRetryBudget?.(1);

	function readServiceLatency(service: string): number {
		const known = latencies.get(service);
		if (known && now() - known.at < latencyRefreshMs) {
			return known.ms;
		}

		const hosts = candidates.get(service) ?? [];
		const ms = computeMedian(
			hosts
				.map(({host}) => records.get(host)?.latencyMs ?? 0)
				.filter((latencyMs) => latencyMs > 0),
		);
		latencies.set(service, {ms, at: now()});
		return ms;
	}

	function noteHost(host: string, service: string, message: HostMessage): void {
		const context = {
			now: now(),
			random: random(),
			serviceLatencyMs:
				message.kind === 'ended' ? readServiceLatency(service) : 0,
		};
		const before = records.get(host);
		const after = stepHostRecord(before, message, context);
		records.set(host, after);
		if (after.ejectedUntil > (before?.ejectedUntil ?? 0)) {
			logger.info('host left out', {
				host,
				service,
				reason: after.unreachable ? 'unreachable' : 'failing',
				errorShare: before?.errorShare,
				latencyMs: Math.round(before?.latencyMs ?? 0),
				durationMs: Math.round(after.ejectedUntil - context.now),
			});
		}
	}

	function noteStamp(
		address: string,
		stamp: GateStamp,
		receivedAt: number,
	): void {
		const clock = stepGateClock(stamps.get(address)?.clock, stamp, receivedAt);
		stamps.set(address, {stamp, receivedAt, clock});
	}

	function noteNotice(
		host: string,
		load: GateLoad | undefined,
		heardAt: number,
	): void {
		const before = notices.get(host);
		if (!before && !load?.notice) {
			return;
		}

		const held = stepUpstreamNotice(before, load, heardAt);
		if (held) {
			notices.set(host, held);
		} else {
			notices.delete(host);
		}
	}

	function createLocalPort(host: Candidate): GateClient {
		return {
			host,
			isLocal: true,
			readStamp: gate.readStamp,
			readGateTime: () => undefined,
			readNotice: () => undefined,
			runAttempt: gate.runAttempt,
			ask: async (question) => gate.ask(question),
			fetchAnswer: gate.fetchAnswer,
			async cancel(question) {
				gate.cancel(question);
			},
		};
	}

	function createRemotePort(host: Candidate, service: string): GateClient {
		const {address} = host;
		return {
			host,
			isLocal: false,
			readStamp: () => stamps.get(address)?.stamp,
			readGateTime(at) {
				const held = stamps.get(address);
				return held && computeGateTime(held.clock, at);
			},
			readNotice: () => notices.get(host.host)?.notice,
			runAttempt: async (attempt) =>
				forwarder.forwardAttempt(address, {
					...attempt,
					onSignOfLife() {
						noteHost(host.host, service, {kind: 'keepalive'});
						attempt.onSignOfLife?.();
					},
				}),
			ask: async (question) => forwarder.ask(address, question),
			fetchAnswer: async (id, remainingMs, signal) =>
				forwarder.fetchAnswer(address, id, remainingMs, signal),
			cancel: async (question) => forwarder.cancel(address, question),
		};
	}

	async function refreshStamp(address: string): Promise<void> {
		const held = stamps.get(address);
		if (held && now() - held.receivedAt < stampLifetimeMs / 2) {
			return;
		}

		const stamp = await forwarder.readStamp(address);
		if (stamp) {
			noteStamp(address, stamp, now());
		}
	}

	function pickCandidate(
		service: string,
		key: string | undefined,
		tried: ReadonlySet<string>,
		terms: HostCriteria,
	): Candidate | undefined {
		const hosts = candidates.get(service) ?? [];
		if (key !== undefined) {
			return pickKeyHost(hosts, key);
		}

		const {bodyBytes = 0, ...route} = terms;
		const transfer =
			bodyBytes < notableBodyBytes
				? undefined
				: {bytes: bodyBytes, host: name, linkMbps};
		const pick = {dataCentre, now: now(), ...route, transfer};
		return (
			pickHost(hosts, records, random, {...pick, exclude: tried}) ??
			pickHost(hosts, records, random, pick)
		);
	}

	/** Lists what is known of the hosts in reach that have an upstream of a service. */
	function listReachable(
		service: string,
	): ReadonlyArray<HostRecord | undefined> {
		const at = now();
		return (candidates.get(service) ?? [])
			.map(({host}) => records.get(host))
			.filter((record) => !isUnreachable(record, at));
	}

	/**
	 * Finds out why no host in reach would take a request: each has just refused
	 * such a one for want of room, or lets none through before its objective.
	 */
	function findFullReason(
		service: string,
		{admissionClass, objectiveMs = Number.POSITIVE_INFINITY}: HostCriteria,
	): 'saturated' | 'limited' | undefined {
		const at = now();
		const hosts = listReachable(service);
		const isLimited = (record: HostRecord | undefined): boolean =>
			computeHostRateLimitWait(record, at) > objectiveMs;
		const isFull = hosts.every(
			(record) => isLimited(record) || isKnownFull(record, admissionClass, at),
		);
		if (hosts.length === 0 || !isFull) {
			return undefined;
		}

		return hosts.some((record) => isLimited(record)) ? 'limited' : 'saturated';
	}

	function stepBudget(
		team: string,
		service: string,
		message: 'request' | 'retry' | 'tick',
	): RetryBudget {
		const id = `${team} ${service}`;
		const budget = stepRetryBudget(
			budgets.get(id),
			message,
			now(),
			budgetOptions,
		);
		budgets.set(id, budget);
		return budget;
	}

	return {
		updateMembers(view) {
			candidates = view.candidates;
			budgetOptions = options.computeRetryBudget?.(view.members.length);
			const known = new Set(view.members.map((member) => member.name));
			const addresses = new Set(view.members.map((member) => member.address));
			for (const host of records.keys()) {
				if (!known.has(host)) {
					records.delete(host);
				}
			}

			for (const [host, {receivedAt}] of notices) {
				if (now() - receivedAt > upstreamTombstoneMs) {
					notices.delete(host);
				}
			}

			for (const address of stamps.keys()) {
				if (!addresses.has(address)) {
					stamps.delete(address);
				}
			}
		},
		select(service, key, terms = {}) {
			const tried = new Set<string>();
			let prepared: Candidate | undefined;
			return {
				pickGate() {
					const fullReason = findFullReason(service, terms);
					if (fullReason) {
						return fullReason;
					}

					const host = prepared ?? pickCandidate(service, key, tried, terms);
					prepared = undefined;
					if (!host) {
						return 'pending';
					}

					tried.add(host.host);
					const isRemote = host.host !== name;
					noteHost(host.host, service, {kind: 'sent', isRemote});
					return isRemote
						? createRemotePort(host, service)
						: createLocalPort(host);
				},
				hasAvailableHost() {
					const hosts = candidates.get(service) ?? [];
					return hosts.some(
						({host}) =>
							!tried.has(host) &&
							isAvailable(records.get(host), terms.admissionClass, now()),
					);
				},
				readRateLimitWait() {
					const at = now();
					const waits = listReachable(service).map((record) =>
						computeHostRateLimitWait(record, at),
					);
					return waits.length === 0 ? 0 : Math.min(...waits);
				},
				async refreshStamp() {
					prepared = pickCandidate(service, key, tried, terms);
					if (prepared && prepared.host !== name) {
						await refreshStamp(prepared.address);
					}
				},
			};
		},
		recordAttempt(
			{gate: port, attempt, result, startedAt},
			endedAt,
			admissionClass,
		) {
			const {host, address} = port.host;
			if (result.kind !== 'lost' && result.stamp) {
				noteStamp(address, result.stamp, endedAt);
			}

			if (result.kind !== 'lost') {
				noteNotice(host, result.load, endedAt);
			}

			// An attempt that was not sent has no stamp from the gate.
			const isFromHost = result.kind !== 'lost' && result.stamp !== undefined;
			const isSilent = !isFromHost && isUnreachable(records.get(host), endedAt);
			noteHost(host, attempt.service, {
				kind: 'ended',
				outcome: isSilent ? 'unreachable' : judgeResult(result),
				isFromHost,
				latencyMs: endedAt - startedAt,
				route: attempt.route,
				admissionClass,
				retryAfterMs:
					'retryAfterSeconds' in result
						? result.retryAfterSeconds * msPerSecond
						: undefined,
				load: result.kind === 'lost' ? undefined : result.load,
			});
		},
		recordRequest(team, service) {
			stepBudget(team, service, 'request');
		},
		readRetryBudget: (team, service) =>
			stepBudget(team, service, 'tick').tokens,
		spendRetryBudget(team, service) {
			stepBudget(team, service, 'retry');
		},
	};
}
