import {z} from 'zod';
import {computeCandidates} from '../coordination/compute-candidates.js';
import {
	stepMembers,
	type MembersMessage,
	type MembersState,
} from '../coordination/step-members.js';
import {exchangeIntervalMs, platformTimeoutMs} from '../protocol/constants.js';
import type {Member, MembersView} from '../protocol/member.js';
import type {Exchange} from '../protocol/peer.js';
import type {Logger} from './create-logger.js';
import type {PeerClients} from './create-peer-client.js';
import type {PlatformClient} from './create-platform-client.js';

/** Options of `startMembersTask`. */
export type MembersTaskOptions = {
	readonly self: Member;
	readonly seeds: readonly string[];
	readonly peers: PeerClients;
	readonly platform: PlatformClient;
	readonly logger: Logger;
	/** Called with each new view. */
	readonly onView: (view: MembersView) => void;
	readonly now?: () => number;
	readonly random?: () => number;
};

/** The task that keeps the view of live members and announced upstreams. */
export type MembersTask = {
	tell(message: MembersMessage): void;
	handleExchange(exchange: Exchange): Exchange;
	readView(): MembersView;
	/** Spreads that this node leaves. */
	leave(): Promise<void>;
	stop(): void;
};

const maxSeeds = 24;

const seedsSchema = z.object({addresses: z.array(z.string())});

/**
 * Starts the membership task of a node.
 *
 * @param options - see `MembersTaskOptions`
 * @returns the running task
 * @example
 * startMembersTask({self, seeds: [], peers, platform, logger, onView});
 */
export function startMembersTask(options: MembersTaskOptions): MembersTask {
	const {self, peers, platform, logger, onView} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	let state: MembersState = {
		self,
		others: new Map(),
		heardAt: new Map(),
		leaseEndsAt: new Map(),
	};
	let {seeds} = options;
	let isStopped = false;

	function readView(): MembersView {
		const members = [state.self, ...state.others.values()];
		return {
			self: state.self,
			members,
			candidates: computeCandidates(members),
		};
	}

	function tell(message: MembersMessage): void {
		const before = state;
		state = stepMembers(state, message, now());
		if (before.self !== state.self || hasChanged(before, state)) {
			onView(readView());
		}
	}

	function hasChanged(before: MembersState, after: MembersState): boolean {
		if (before.others.size !== after.others.size) {
			return true;
		}

		for (const [name, member] of after.others) {
			if (before.others.get(name) !== member) {
				return true;
			}
		}

		return false;
	}

	function listRecords(): Member[] {
		return [state.self, ...state.others.values()];
	}

	function pickTargets(count: number): string[] {
		const alive = [...state.others.values()]
			.filter(
				(member) => member.state === 'alive' || member.state === 'suspect',
			)
			.map(({address}) => address);
		const pool =
			alive.length > 0
				? alive
				: seeds.filter((address) => address !== self.address);
		return Array.from(
			{length: Math.min(count, pool.length)},
			() => pool[Math.floor(random() * pool.length)]!,
		);
	}

	async function exchangeWith(address: string): Promise<void> {
		try {
			const answer = await peers
				.getClient(address)
				.exchange.mutate(
					{from: self.name, records: listRecords()},
					{signal: AbortSignal.timeout(exchangeIntervalMs)},
				);
			tell({kind: 'records', records: answer.records});
			tell({kind: 'heard', name: answer.from});
		} catch (error) {
			logger.debug('exchange failed', {address, error: String(error)});
		}
	}

	async function refreshSeeds(): Promise<void> {
		const key = `members/${self.dataCentre}`;
		const outcome = await platform.listObjects('members/');
		if (outcome.kind !== 'items') {
			return;
		}

		const lists = outcome.items.map(({value}) => seedsSchema.parse(value));
		seeds = [
			...new Set([
				...options.seeds,
				...lists.flatMap(({addresses}) => addresses),
			]),
		];
		const own = outcome.items.find((item) => item.key === key);
		const addresses = own ? seedsSchema.parse(own.value).addresses : [];
		if (addresses.includes(self.address) || addresses.length >= maxSeeds) {
			return;
		}

		await platform.writeObject(
			key,
			{addresses: [...addresses, self.address]},
			own ? {kind: 'version', version: own.version} : {kind: 'absent'},
		);
	}

	async function runTick(): Promise<void> {
		tell({kind: 'tick'});
		await Promise.all(
			pickTargets(2).map(async (address) => exchangeWith(address)),
		);
	}

	const timer = setInterval(() => {
		void runTick();
	}, exchangeIntervalMs);
	const seedTimer = setInterval(() => {
		if (state.others.size === 0) {
			void refreshSeeds();
		}
	}, platformTimeoutMs);
	void refreshSeeds().then(runTick);

	return {
		tell,
		readView,
		handleExchange(exchange) {
			tell({kind: 'records', records: exchange.records});
			tell({kind: 'heard', name: exchange.from});
			return {from: self.name, records: listRecords()};
		},
		async leave() {
			tell({kind: 'leave'});
			await Promise.all(
				pickTargets(4).map(async (address) => exchangeWith(address)),
			);
		},
		stop() {
			if (!isStopped) {
				isStopped = true;
				clearInterval(timer);
				clearInterval(seedTimer);
			}
		},
	};
}
