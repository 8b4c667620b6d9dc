import {computeMembersView} from '../coordination/compute-members-view.js';
import {createMembersState} from '../coordination/create-members-state.js';
import type {
	MembersEffect,
	MembersMessage,
	SeedsOutcome,
	SeedsWatchOutcome,
} from '../coordination/members-state.js';
import {stepMembers} from '../coordination/step-members.js';
import {
	exchangeTimeoutMs,
	maxListedSeeds,
	maxSeedsPages,
	membersPeriodMs,
	seedsConflictMs,
	timerToleranceMs,
} from '../protocol/constants.js';
import type {
	Announcement,
	EncodedExchange,
	Exchange,
	ExchangeAnswer,
	Member,
	MembersView,
	Upstream,
} from '../protocol/member.js';
import type {PlatformObject, WriteCondition} from '../protocol/platform.js';
import {decodeExchangeAnswer} from '../state/decode-exchange-answer.js';
import {decodeExchange} from '../state/decode-exchange.js';
import {decodeSeeds} from '../state/decode-seeds.js';
import {createProblemLog} from './_lib/create-problem-log.js';
import type {Logger} from './create-logger.js';
import type {PeerClients} from './create-peer-client.js';
import type {PlatformClient} from './platform-client.js';
import type {QuarantineTask} from './start-quarantine-task.js';

/** Options of `startMembersTask`. */
export type MembersTaskOptions = {
	readonly self: Member;
	readonly seeds: readonly string[];
	readonly peers: PeerClients;
	readonly platform: PlatformClient;
	readonly logger: Logger;
	/** Called with each new membership view. */
	readonly onView: (view: MembersView) => void;
	/** Called with the id of each upstream whose lease has expired without renewal. */
	readonly onLeaseExpired?: (id: string) => void;
	/** Lease time of an announcement, ms; `upstreamLeaseMs` when absent. */
	readonly leaseMs?: number | undefined;
	/** Quarantine whose digest the probes carry, so that nodes with other crash records are found. */
	readonly quarantine?: Pick<QuarantineTask, 'readDigest' | 'compareDigest'>;
	readonly now?: () => number;
	readonly random?: () => number;
};

/** Whether an announcement was applied; it is ignored if it is late or out of order. */
export type AnnouncementOutcome = 'accepted' | 'ignored';

/** The task that maintains the view of live members and announced upstreams. */
export type MembersTask = {
	announce(id: string, announcement: Announcement): AnnouncementOutcome;
	withdraw(id: string): void;
	handleExchange(exchange: EncodedExchange): ExchangeAnswer;
	readView(): MembersView;
	/** Whether the node has joined: it knows the other members, or has found none. */
	isMember(): boolean;
	/** Reads the addresses by which nodes find each other from the store, and writes them again if they are missing. */
	recheckSeeds(): void;
	/** Announces to the other members that this node is leaving; resolves when all sent messages have been answered or have failed. */
	leave(): Promise<void>;
	stop(): void;
};

const seedsPrefix = 'members/';

/** Objects of the seeds' kind, as far as they could be listed. */
type SeedsList = {
	readonly items: readonly PlatformObject[];
	readonly revision: number;
	/** Whether no further object of the kind can exist. */
	readonly isComplete: boolean;
};

function createCondition(version: number | undefined): WriteCondition {
	if (version === undefined) {
		return {kind: 'absent'};
	}

	return version === 0 ? {kind: 'present'} : {kind: 'version', version};
}

/**
 * Starts the membership task of a node.
 *
 * @param options - see `MembersTaskOptions`
 * @returns the running task
 * @example
 * startMembersTask({self, seeds: [], peers, platform, logger, onView});
 */
export function startMembersTask(options: MembersTaskOptions): MembersTask {
	const {self, peers, platform, logger, onView, onLeaseExpired} = options;
	const {quarantine} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	const seedsKey = `${seedsPrefix}${self.dataCentre}`;
	const logProblems = createProblemLog({
		logger,
		message: 'store entry not readable',
		now,
	});
	const timers = new Set<NodeJS.Timeout>();
	const pendingSends = new Set<Promise<void>>();
	const logUnreadable = createProblemLog({
		logger,
		message: 'part of a message not readable',
		now,
	});
	let state = createMembersState(self, now(), random(), {
		seeds: options.seeds,
		wallMs: Date.now(),
		leaseMs: options.leaseMs,
	});
	let view: MembersView | undefined;
	let isStopped = false;

	function readView(): MembersView {
		view ??= computeMembersView(state);
		return view;
	}

	function dispatch(message: MembersMessage): readonly MembersEffect[] {
		if (isStopped) {
			return [];
		}

		const before = state;
		const step = stepMembers(state, message, now(), random);
		state = step.state;
		for (const effect of step.effects) {
			runEffect(effect);
		}

		if (before.role !== state.role && state.role === 'member') {
			logger.info('joined the members', {
				durationMs: Math.round(now() - state.startedAt),
				members: readView().members.length,
			});
		}

		const isSameView =
			before.self === state.self &&
			before.table === state.table &&
			before.role === state.role &&
			before.isSeeking === state.isSeeking;
		if (!isSameView) {
			view = undefined;
			reportExpiredLeases(before.self, message);
			onView(readView());
		}

		return step.effects;
	}

	function reportExpiredLeases(before: Member, message: MembersMessage): void {
		const remainingIds = new Set(state.self.upstreams.map(({id}) => id));
		const isRequested = message.kind === 'withdraw' || message.kind === 'leave';
		for (const upstream of isRequested ? [] : before.upstreams) {
			const {id} = upstream;
			if (!remainingIds.has(id)) {
				logger.warn(
					isDeparted(upstream, message)
						? 'upstream had left before the node started'
						: 'upstream lease expired',
					{id},
				);
				onLeaseExpired?.(id);
			}
		}
	}

	/** Tells whether another member has stated that an upstream had left, rather than its lease having expired. */
	function isDeparted(
		{id, state: upstreamState}: Upstream,
		{kind}: MembersMessage,
	): boolean {
		return (
			(kind === 'answer' || kind === 'request') &&
			upstreamState === 'ready' &&
			state.leases.get(id)?.state === 'ended'
		);
	}

	function scheduleTimer(delayMs: number, action: () => void): void {
		const timer = setTimeout(() => {
			timers.delete(timer);
			action();
		}, delayMs);
		timers.add(timer);
	}

	function runEffect(effect: MembersEffect): void {
		switch (effect.kind) {
			case 'send': {
				const sent = send(effect.address, effect.request);
				pendingSends.add(sent);
				void sent.then(() => pendingSends.delete(sent));
				break;
			}

			case 'schedule-spread': {
				scheduleTimer(effect.delayMs, () => {
					dispatch({kind: 'spread'});
				});
				break;
			}

			case 'schedule-seek': {
				const {failures, delayMs} = effect;
				scheduleTimer(delayMs, () => {
					dispatch({kind: 'seek', failures});
				});
				break;
			}

			case 'read-seeds': {
				void readSeeds();
				break;
			}

			case 'watch-seeds': {
				void watchSeeds(effect.revision, effect.waitMs);
				break;
			}

			case 'write-seeds': {
				void writeSeeds(effect);
				break;
			}

			case 'log': {
				logger[effect.level](effect.text, {member: effect.member});
				break;
			}

			case 'answer':
			case 'announcement': {
				break;
			}
		}
	}

	/** Adds the digest of the crash records to a probe or its acknowledgement. */
	function addDigest<Message extends Exchange | ExchangeAnswer>(
		message: Message,
	): Message {
		return quarantine && (message.kind === 'ping' || message.kind === 'ack')
			? {...message, crashDigest: quarantine.readDigest()}
			: message;
	}

	async function send(address: string, request: Exchange): Promise<void> {
		try {
			const received: unknown = await peers
				.getClient(address)
				.exchange.mutate(addDigest(request), {
					signal: AbortSignal.timeout(exchangeTimeoutMs),
				});
			const decoded = decodeExchangeAnswer(received);
			if (decoded.isErr()) {
				const reason = decoded.error;
				logUnreadable([{place: `answer of ${address}`, reason}], address);
				dispatch({kind: 'failure', address, request});
				return;
			}

			const {value: answer, unreadable} = decoded.value;
			logUnreadable(unreadable, address);
			if (answer.kind === 'ack' && answer.crashDigest !== undefined) {
				quarantine?.compareDigest(address, answer.crashDigest);
			}

			dispatch({kind: 'answer', address, request, answer});
		} catch (error) {
			logger.debug('exchange failed', {address, error: String(error)});
			dispatch({kind: 'failure', address, request});
		}
	}

	/** Lists the seeds objects, page by page; undefined if a call fails. */
	async function listSeeds(): Promise<SeedsList | undefined> {
		let items: readonly PlatformObject[] = [];
		let revision: number | undefined;
		let isComplete = true;
		for (let page = 0, after = ''; page < maxSeedsPages; page++) {
			const outcome = await platform.listObjects(seedsPrefix, after);
			if (outcome.kind !== 'items') {
				return undefined;
			}

			items = [...items, ...outcome.items];
			// A watch from the revision of the first page misses no change of the others.
			revision ??= outcome.revision;
			isComplete &&= outcome.hasUnreadable !== true;
			const last = outcome.items.at(-1)?.key;
			if (!outcome.more) {
				return {items, revision, isComplete};
			}

			if (last === undefined || last === after) {
				break;
			}

			after = last;
		}

		return {items, revision: revision ?? 0, isComplete: false};
	}

	/** Lists the seeds objects, with that of the local data centre even if it is not in the list. */
	async function listAllSeeds(): Promise<SeedsList | undefined> {
		const list = await listSeeds();
		const isFound = list?.items.some(({key}) => key === seedsKey) === true;
		if (!list || list.isComplete || isFound) {
			return list;
		}

		const read = await platform.readObject(seedsKey);
		switch (read.kind) {
			case 'found': {
				return {...list, items: [...list.items, read.object]};
			}

			case 'absent': {
				return list;
			}

			case 'unavailable': {
				return undefined;
			}
		}
	}

	async function loadSeeds(): Promise<SeedsOutcome> {
		const list = await listAllSeeds();
		if (!list) {
			return {kind: 'unavailable'};
		}

		const wallMs = Date.now();
		const seedLists = list.items.map(({key, version, value}) => ({
			key,
			version,
			...decodeSeeds(value, wallMs),
		}));
		logProblems(
			seedLists.flatMap(({key, problems}) =>
				problems.map((reason) => ({place: key, reason})),
			),
		);
		const localSeeds = seedLists
			.filter(({key}) => key === seedsKey)
			.toSorted((a, b) => b.version - a.version)[0];
		const localAddresses = localSeeds?.addresses ?? [];
		const addresses = seedLists.flatMap((seeds) => seeds.addresses);
		return {
			kind: 'read',
			addresses: [...localAddresses, ...addresses].slice(0, maxListedSeeds),
			memberCount: localSeeds?.memberCount ?? 0,
			writtenMs: localSeeds?.writtenMs ?? 0,
			version: localSeeds?.version,
			localAddresses,
			isDamaged:
				localSeeds !== undefined &&
				(localSeeds.version === 0 || localSeeds.problems.length > 0),
			revision: list.revision,
		};
	}

	async function watchSeeds(revision: number, waitMs: number): Promise<void> {
		dispatch({
			kind: 'seeds-watched',
			outcome: await callWatch(revision, waitMs),
		});
	}

	async function callWatch(
		revision: number,
		waitMs: number,
	): Promise<SeedsWatchOutcome> {
		const outcome = await platform.watchObjects(seedsPrefix, revision, waitMs);
		switch (outcome.kind) {
			case 'items': {
				const {items, hasUnreadable = false} = outcome;
				return items.length > 0 || hasUnreadable
					? {kind: 'changed'}
					: {kind: 'unchanged', revision: outcome.revision};
			}

			case 'compacted': {
				return {kind: 'changed'};
			}

			case 'unavailable': {
				return {kind: 'failed'};
			}
		}
	}

	async function readSeeds(): Promise<void> {
		dispatch({kind: 'seeds', outcome: await loadSeeds()});
	}

	async function writeSeeds(
		effect: Extract<MembersEffect, {readonly kind: 'write-seeds'}>,
	): Promise<void> {
		const {addresses, memberCount, version} = effect;
		const outcome = await platform.writeObject(
			seedsKey,
			{addresses, memberCount, writtenMs: Date.now()},
			createCondition(version),
		);
		if (outcome.kind === 'conflict') {
			// Another node wrote the object first; it contains the addresses of the nodes to join.
			scheduleTimer(random() * seedsConflictMs, () => {
				void readSeeds();
			});
		}
	}

	const tickTimer = setInterval(() => {
		dispatch({kind: 'tick'});
	}, membersPeriodMs);
	dispatch({kind: 'tick'});
	// The first read of the seeds is due before the second tick.
	const firstReadMs = Math.max(0, Math.ceil(state.seeds.nextReadAt - now()));
	scheduleTimer(firstReadMs + timerToleranceMs, () => {
		dispatch({kind: 'tick'});
	});

	return {
		announce(id, announcement) {
			const effects = dispatch({kind: 'announce', id, announcement});
			const effect = effects.find(({kind}) => kind === 'announcement');
			return effect?.kind === 'announcement' ? effect.outcome : 'ignored';
		},
		withdraw(id) {
			dispatch({kind: 'withdraw', id});
		},
		readView,
		isMember: () => state.role === 'member',
		handleExchange(exchange) {
			const {value: request, unreadable} = decodeExchange(exchange);
			logUnreadable(unreadable, request.from.address);
			const effects = dispatch({kind: 'request', request});
			const effect = effects.find(({kind}) => kind === 'answer');
			if (effect?.kind !== 'answer') {
				throw new Error('exchange received after the members task was stopped');
			}

			return addDigest(effect.answer);
		},
		recheckSeeds() {
			dispatch({kind: 'store-restored'});
		},
		async leave() {
			dispatch({kind: 'leave'});
			await Promise.all(pendingSends);
		},
		stop() {
			isStopped = true;
			clearInterval(tickTimer);
			for (const timer of timers) {
				clearTimeout(timer);
			}
		},
	};
}
