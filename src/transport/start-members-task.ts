import * as z from 'zod';
import {computeMembersView} from '../coordination/compute-members-view.js';
import {createMembersState} from '../coordination/create-members-state.js';
import type {
	MembersEffect,
	MembersMessage,
	SeedsOutcome,
} from '../coordination/members-state.js';
import {stepMembers} from '../coordination/step-members.js';
import {
	exchangeTimeoutMs,
	maxSeeds,
	membersPeriodMs,
	seedsConflictMs,
} from '../protocol/constants.js';
import {
	exchangeAnswerSchema,
	type Announcement,
	type Exchange,
	type ExchangeAnswer,
	type Member,
	type MembersView,
} from '../protocol/member.js';
import type {Logger} from './create-logger.js';
import type {PeerClients} from './create-peer-client.js';
import type {PlatformClient} from './platform-client.js';

/** Options of `startMembersTask`. */
export type MembersTaskOptions = {
	readonly self: Member;
	readonly seeds: readonly string[];
	readonly peers: PeerClients;
	readonly platform: PlatformClient;
	readonly logger: Logger;
	/** Called with each new view. */
	readonly onView: (view: MembersView) => void;
	/** Called with each upstream whose lease was not renewed. */
	readonly onLeaseExpired?: (id: string) => void;
	/** How long an announcement counts, ms; `upstreamLeaseMs` when absent. */
	readonly leaseMs?: number | undefined;
	readonly now?: () => number;
	readonly random?: () => number;
};

/** Whether an announcement counted; an ignored one is late or out of order. */
export type AnnouncementOutcome = 'accepted' | 'ignored';

/** The task that keeps the view of live members and announced upstreams. */
export type MembersTask = {
	announce(id: string, announcement: Announcement): AnnouncementOutcome;
	withdraw(id: string): void;
	handleExchange(exchange: Exchange): ExchangeAnswer;
	readView(): MembersView;
	/** Whether the node takes part: it knows the others, or found none. */
	isMember(): boolean;
	/** Spreads that this node leaves. */
	leave(): Promise<void>;
	stop(): void;
};

const seedsPrefix = 'members/';

const seedsSchema = z.object({
	addresses: z.array(z.string().regex(/^[\d.]+:\d+$/v)).max(4 * maxSeeds),
	memberCount: z.int().min(0).default(0),
	writtenMs: z.number().default(0),
});

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
	const {now = () => performance.now(), random = Math.random} = options;
	const seedsKey = `${seedsPrefix}${self.dataCentre}`;
	const timers = new Set<NodeJS.Timeout>();
	const sending = new Set<Promise<void>>();
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

	function tell(message: MembersMessage): readonly MembersEffect[] {
		if (isStopped) {
			return [];
		}

		const before = state;
		const step = stepMembers(state, message, now(), random);
		state = step.state;
		for (const effect of step.effects) {
			runEffect(effect);
		}

		if (before.self !== state.self || before.table !== state.table) {
			view = undefined;
			reportLapses(before.self, message);
			onView(readView());
		}

		return step.effects;
	}

	function reportLapses(before: Member, message: MembersMessage): void {
		const left = new Set(state.self.upstreams.map(({id}) => id));
		const isAsked = message.kind === 'withdraw' || message.kind === 'leave';
		for (const {id} of isAsked ? [] : before.upstreams) {
			if (!left.has(id)) {
				logger.warn('lease of upstream lapsed', {id});
				onLeaseExpired?.(id);
			}
		}
	}

	function planTimer(delayMs: number, action: () => void): void {
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
				sending.add(sent);
				void sent.then(() => sending.delete(sent));
				break;
			}

			case 'schedule-spread': {
				planTimer(effect.delayMs, () => {
					tell({kind: 'spread'});
				});
				break;
			}

			case 'read-seeds': {
				void readSeeds();
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

	async function send(address: string, request: Exchange): Promise<void> {
		try {
			const answer = exchangeAnswerSchema.parse(
				await peers.getClient(address).exchange.mutate(request, {
					signal: AbortSignal.timeout(exchangeTimeoutMs),
				}),
			);
			tell({kind: 'answer', address, request, answer});
		} catch (error) {
			logger.debug('exchange failed', {address, error: String(error)});
			tell({kind: 'failure', address, request});
		}
	}

	async function loadSeeds(): Promise<SeedsOutcome> {
		const outcome = await platform.listObjects(seedsPrefix);
		if (outcome.kind !== 'items') {
			return {kind: 'unavailable'};
		}

		const lists = outcome.items.flatMap(({key, version, value}) => {
			const parsed = seedsSchema.safeParse(value);
			return parsed.success ? [{key, version, ...parsed.data}] : [];
		});
		const own = lists.find(({key}) => key === seedsKey);
		const stored = outcome.items.find(({key}) => key === seedsKey);
		return {
			kind: 'read',
			addresses: lists.flatMap(({addresses}) => addresses),
			memberCount: own?.memberCount ?? 0,
			writtenMs: own?.writtenMs ?? 0,
			version: stored?.version,
			localAddresses: own?.addresses ?? [],
		};
	}

	async function readSeeds(): Promise<void> {
		tell({kind: 'seeds', outcome: await loadSeeds()});
	}

	async function writeSeeds(
		effect: Extract<MembersEffect, {readonly kind: 'write-seeds'}>,
	): Promise<void> {
		const {addresses, memberCount, version} = effect;
		const outcome = await platform.writeObject(
			seedsKey,
			{addresses, memberCount, writtenMs: Date.now()},
			version === undefined ? {kind: 'absent'} : {kind: 'version', version},
		);
		if (outcome.kind === 'conflict') {
			// Another node was first: its object names the nodes to join.
			planTimer(random() * seedsConflictMs, () => {
				void readSeeds();
			});
		}
	}

	const ticker = setInterval(() => {
		tell({kind: 'tick'});
	}, membersPeriodMs);
	tell({kind: 'tick'});
	// The first read is due before the second period begins.
	planTimer(Math.max(0, state.seeds.nextReadAt - now()), () => {
		tell({kind: 'tick'});
	});

	return {
		announce(id, announcement) {
			const effects = tell({kind: 'announce', id, announcement});
			const effect = effects.find(({kind}) => kind === 'announcement');
			return effect?.kind === 'announcement' ? effect.outcome : 'ignored';
		},
		withdraw(id) {
			tell({kind: 'withdraw', id});
		},
		readView,
		isMember: () => state.role === 'member',
		handleExchange(request) {
			const effects = tell({kind: 'request', request});
			const effect = effects.find(({kind}) => kind === 'answer');
			if (effect?.kind !== 'answer') {
				throw new Error('a stopped node answers no exchange');
			}

			return effect.answer;
		},
		async leave() {
			tell({kind: 'leave'});
			await Promise.all(sending);
		},
		stop() {
			isStopped = true;
			clearInterval(ticker);
			for (const timer of timers) {
				clearTimeout(timer);
			}
		},
	};
}
