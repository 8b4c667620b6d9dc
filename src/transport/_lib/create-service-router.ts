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
	minTransferCostBodyBytes,
	stampLifetimeMs,
	upstreamTombstoneMs,
	referenceLinkMbps,
} from '../../protocol/constants.js';
import {pickTargetHosts} from '../../coordination/rollouts/pick-target-hosts.js';
import type {Candidate, MembersView} from '../../protocol/member.js';
import type {VersionChosen} from '../../protocol/rollout.js';
import type {OutcomeReason} from '../../protocol/request.js';
import type {GateStamp} from '../../protocol/stamp.js';
import type {Forwarder} from '../create-forwarder.js';
import type {Logger} from '../create-logger.js';
import type {GateTask} from '../start-gate-task.js';
import type {VersionPicker} from '../version-picker.js';
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
	/** Bandwidth of the local host's network link, Mbit/s; the default when absent. */
	readonly linkMbps?: number | undefined;
	/** Monotonic ms. */
	readonly now: () => number;
	readonly random: () => number;
	/** Picks the software versions of requests; without it, every upstream may get them. */
	readonly rollouts?: VersionPicker | undefined;
	/** Computes the retry budget options of this node from the number of all nodes. */
	readonly computeRetryBudget?: (members: number) => RetryBudgetOptions;
};

/** Selects gates for the attempts of one request. */
export type GateSelection = {
	/** Returns why no reachable host would admit the request now; undefined if one may. */
	findFullReason(): OutcomeReason | undefined;
	/** Picks a gate, if possible one that was not tried yet; returns the reason if there is none. */
	pickGate(): GateClient | OutcomeReason;
	/** Whether there is an untried host that is not known to be full. */
	hasAvailableHost(): boolean;
	/** Whether there is an untried host. */
	hasUntriedHost(): boolean;
	/** Returns the shortest wait under the rate limits of the reachable hosts, ms. */
	readRateLimitWait(): number;
	/**
	 * Fetches a new stamp from the gate that will be picked first, for a request
	 * that cannot be resent if its stamp is refused, or whose body costs much to
	 * send twice.
	 */
	refreshStamp(): Promise<void>;
};

/** Properties of a request that host selection depends on. */
export type HostCriteria = Pick<
	PickOptions,
	'objectiveMs' | 'route' | 'admissionClass'
> & {
	/** Length of the request body, bytes; 0 when absent. */
	readonly bodyBytes?: number;
};

/** Tracks the hosts of services for a caller's node, and its retry budgets. */
export type ServiceRouter = {
	/** Updates the known hosts from a membership view. */
	updateMembers(view: MembersView): void;
	select(
		service: string,
		key: string | undefined,
		criteria?: HostCriteria,
	): GateSelection;
	/** Records the end of an attempt; `admissionClass` identifies requests that hosts admit alike. */
	recordAttempt(end: AttemptEnd, now: number, admissionClass?: string): void;
	recordRequest(team: string, service: string): void;
	readRetryBudget(team: string, service: string): number;
	spendRetryBudget(team: string, service: string): void;
};

/** Hosts that a request may go to, and the version that must run it there. */
type HostChoice = {
	readonly hosts: readonly Candidate[];
	/** Undefined when any version may. */
	readonly version: string | undefined;
};

type AttemptEndedMessage = HostMessage & {readonly kind: 'ended'};

type CachedStamp = {
	readonly stamp: GateStamp;
	readonly receivedAt: number;
	readonly clock: GateClock;
};

const serverErrorStatus = 500;

function classifyRefusal(
	reason: OutcomeReason,
): AttemptEndedMessage['outcome'] {
	if (reason === 'not-sent') {
		return 'unreachable';
	}

	return isCapacityRefusal(reason) ? 'full' : 'refused';
}

function classifyResult(result: ForwardResult): AttemptEndedMessage['outcome'] {
	if (result.kind !== 'answered' && result.reason === 'cancelled') {
		return 'cancelled';
	}

	switch (result.kind) {
		case 'answered': {
			return result.status >= serverErrorStatus ? 'failed' : 'answered';
		}

		case 'not-run': {
			return classifyRefusal(result.reason);
		}

		case 'unknown':
		case 'lost': {
			return 'failed';
		}
	}
}

/**
 * Creates the router of a caller's node, which selects a host for each attempt
 * and records the outcomes.
 *
 * @param options - see `ServiceRouterOptions`
 * @returns the router, without any hosts yet
 */
export function createServiceRouter(
	options: ServiceRouterOptions,
): ServiceRouter {
	const {name, dataCentre, gate, forwarder, logger, now, random} = options;
	const {linkMbps = referenceLinkMbps} = options;
	const records = new Map<string, HostRecord>();
	const stamps = new Map<string, CachedStamp>();
	// Notices outlive host records, because a restarting host is missing from the view for a while.
	const notices = new Map<string, CachedNotice>();
	const budgets = new Map<string, RetryBudget>();
	const latencies = new Map<
		string,
		{readonly ms: number; readonly at: number}
	>();
	let candidates: MembersView['candidates'] = new Map();
	/** Hosts of a version, as long as the candidates stay the same. */
	const versionHosts = new Map<string, readonly Candidate[]>();
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

	function updateHostRecord(
		host: string,
		service: string,
		message: HostMessage,
	): void {
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

	function recordStamp(
		address: string,
		stamp: GateStamp,
		receivedAt: number,
	): void {
		const clock = stepGateClock(stamps.get(address)?.clock, stamp, receivedAt);
		stamps.set(address, {stamp, receivedAt, clock});
	}

	function recordNotice(
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

	function listVersionHosts(
		service: string,
		version: string,
		count: number | undefined,
	): readonly Candidate[] {
		const key = JSON.stringify([service, version, count]);
		const known = versionHosts.get(key);
		if (known) {
			return known;
		}

		const hosts = pickTargetHosts(
			(candidates.get(service) ?? []).filter(({versions}) =>
				versions?.includes(version),
			),
			count,
		);
		versionHosts.set(key, hosts);
		return hosts;
	}

	/** Chooses the hosts of an attempt by the versions that its service has. */
	function chooseHosts(
		service: string,
		criteria: HostCriteria,
		isRetry: boolean,
	): HostChoice {
		const choice = options.rollouts?.pick(service, isRetry);
		if (!choice) {
			return {hosts: candidates.get(service) ?? [], version: undefined};
		}

		const {versions, limited, mayFallBack} = choice;
		let first: HostChoice | undefined;

		/** Counts the choice for a new request, but not that for a retry. */
		function record(chosen: Omit<VersionChosen, 'service'>): void {
			if (!isRetry) {
				options.rollouts?.recordChoice({service, ...chosen});
			}
		}

		for (const version of versions) {
			const count = limited?.version === version ? limited.hosts : undefined;
			const hosts = listVersionHosts(service, version, count);
			if (hosts.length === 0) {
				continue;
			}

			first ??= {hosts, version};
			if (!mayFallBack || !findFullReason(hosts, criteria)) {
				const isFirst = version === versions[0];
				const reason = first.version === version ? 'no-host' : 'no-capacity';
				record({version, reason: isFirst ? 'preferred' : reason});
				return {hosts, version};
			}
		}

		if (!first) {
			record({version: '', reason: 'none'});
			return {hosts: [], version: undefined};
		}

		record({version: first.version!, reason: 'preferred'});
		return first;
	}

	function createLocalClient(
		host: Candidate,
		version: string | undefined,
	): GateClient {
		return {
			host,
			version,
			isLocal: true,
			readStamp: gate.readStamp,
			readGateTime: (at) => at,
			readNotice: () => undefined,
			runAttempt: gate.runAttempt,
			ask: async (question) => gate.ask(question),
			fetchAnswer: gate.fetchAnswer,
			async cancel(question) {
				gate.cancel(question);
			},
		};
	}

	function createRemoteClient(
		host: Candidate,
		service: string,
		version: string | undefined,
	): GateClient {
		const {address} = host;
		return {
			host,
			version,
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
					onKeepalive() {
						updateHostRecord(host.host, service, {kind: 'keepalive'});
						attempt.onKeepalive?.();
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
			recordStamp(address, stamp, now());
		}
	}

	function pickCandidate(
		hosts: readonly Candidate[],
		key: string | undefined,
		tried: ReadonlySet<string>,
		criteria: HostCriteria,
	): Candidate | undefined {
		if (key !== undefined) {
			return pickKeyHost(hosts, key);
		}

		const {bodyBytes = 0, ...route} = criteria;
		const transfer =
			bodyBytes < minTransferCostBodyBytes
				? undefined
				: {bytes: bodyBytes, host: name, linkMbps};
		const pick = {dataCentre, ownHost: name, now: now(), ...route, transfer};
		return (
			pickHost(hosts, records, random, {...pick, exclude: tried}) ??
			pickHost(hosts, records, random, pick)
		);
	}

	/**
	 * Finds the reason why no reachable host would admit a request: each one has
	 * just refused a similar request for lack of capacity, or its rate limit
	 * delays the request beyond its objective.
	 */
	function findFullReason(
		hosts: readonly Candidate[],
		{admissionClass, objectiveMs = Number.POSITIVE_INFINITY}: HostCriteria,
	): 'saturated' | 'limited' | undefined {
		const at = now();
		let reason: 'saturated' | 'limited' | undefined;
		for (const {host} of hosts) {
			const record = records.get(host);
			if (isUnreachable(record, at)) {
				continue;
			}

			if (computeHostRateLimitWait(record, at) > objectiveMs) {
				reason = 'limited';
			} else if (isKnownFull(record, admissionClass, at)) {
				reason ??= 'saturated';
			} else {
				return undefined;
			}
		}

		return reason;
	}

	function stepServiceBudget(
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
			versionHosts.clear();
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
		select(service, key, criteria = {}) {
			const tried = new Set<string>();
			let preselected: Candidate | undefined;
			let choice = chooseHosts(service, criteria, false);

			/** Chooses again for a retry, which goes to the old version where it can. */
			function readHosts(): readonly Candidate[] {
				if (tried.size > 0) {
					choice = chooseHosts(service, criteria, true);
				}

				return choice.hosts;
			}

			return {
				findFullReason: () => findFullReason(readHosts(), criteria),
				pickGate() {
					const hosts = readHosts();
					const fullReason = findFullReason(hosts, criteria);
					if (fullReason) {
						return fullReason;
					}

					const host =
						preselected ?? pickCandidate(hosts, key, tried, criteria);
					preselected = undefined;
					if (!host) {
						return 'pending';
					}

					tried.add(host.host);
					const {version} = choice;
					const isRemote = host.host !== name;
					updateHostRecord(host.host, service, {kind: 'sent', isRemote});
					return isRemote
						? createRemoteClient(host, service, version)
						: createLocalClient(host, version);
				},
				hasAvailableHost() {
					return readHosts().some(
						({host}) =>
							!tried.has(host) &&
							isAvailable(records.get(host), criteria.admissionClass, now()),
					);
				},
				hasUntriedHost() {
					return readHosts().some(({host}) => !tried.has(host));
				},
				readRateLimitWait() {
					const at = now();
					let waitMs: number | undefined;
					for (const {host} of readHosts()) {
						const record = records.get(host);
						if (!isUnreachable(record, at)) {
							const hostWaitMs = computeHostRateLimitWait(record, at);
							waitMs = Math.min(waitMs ?? hostWaitMs, hostWaitMs);
						}
					}

					return waitMs ?? 0;
				},
				async refreshStamp() {
					preselected = pickCandidate(readHosts(), key, tried, criteria);
					if (preselected && preselected.host !== name) {
						await refreshStamp(preselected.address);
					}
				},
			};
		},
		recordAttempt(
			{gate: client, attempt, result, startedAt},
			endedAt,
			admissionClass,
		) {
			const {host, address} = client.host;
			const outcome = classifyResult(result);
			if (client.version !== undefined) {
				const {service} = attempt;
				const isFailed = outcome === 'failed';
				options.rollouts?.recordAttempt(service, client.version, isFailed);
			}

			if (result.kind !== 'lost' && result.stamp) {
				recordStamp(address, result.stamp, endedAt);
			}

			if (result.kind !== 'lost') {
				recordNotice(host, result.load, endedAt);
			}

			// The result of an attempt that was not sent has no stamp from the gate.
			const isFromHost = result.kind !== 'lost' && result.stamp !== undefined;
			const isUnresponsive =
				!isFromHost && isUnreachable(records.get(host), endedAt);
			updateHostRecord(host, attempt.service, {
				kind: 'ended',
				outcome: isUnresponsive ? 'unreachable' : outcome,
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
			stepServiceBudget(team, service, 'request');
		},
		readRetryBudget: (team, service) =>
			stepServiceBudget(team, service, 'tick').tokens,
		spendRetryBudget(team, service) {
			stepServiceBudget(team, service, 'retry');
		},
	};
}
