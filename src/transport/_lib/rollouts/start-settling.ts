import type {Member} from '../../../protocol/member.js';

/** Options of `startSettling`. */
export type SettlingOptions = {
	/** Whether the node knows the members of its data centre. */
	readonly hasJoined: () => boolean;
	/** Whether there is nothing left to ask. */
	readonly isDone: () => boolean;
	/** Returns the members other than this node. */
	readonly listOthers: () => readonly Member[];
	/** Returns the leader, as this node believes; undefined when it leads itself. */
	readonly readLeader: () => Member | undefined;
	/** Asks a node; does not reject. */
	readonly ask: (address: string) => Promise<void>;
	/** Returns a number from 0 up to, but not including, 1. */
	readonly random: () => number;
};

const askIntervalMs = 100;

/**
 * Asks other nodes which versions run until one knows: first the leader, then
 * members at random.
 *
 * Load pattern: all nodes start at the same moment. What the first leader has read
 * spreads over them in a few rounds, without all of them asking one node.
 *
 * @param options - see `SettlingOptions`
 * @returns a function that stops it
 */
export function startSettling(options: SettlingOptions): () => void {
	const {hasJoined, isDone, listOthers, readLeader, ask, random} = options;
	let asked = 0;

	function pickReceiver(): Member | undefined {
		const leader = asked === 0 ? readLeader() : undefined;
		const live = listOthers().filter(({state}) => state === 'alive');
		return leader ?? live[Math.floor(random() * live.length)];
	}

	function step(): void {
		if (isDone()) {
			clearInterval(timer);
			return;
		}

		const receiver = hasJoined() ? pickReceiver() : undefined;
		if (receiver) {
			asked++;
			void ask(receiver.address);
		}
	}

	const timer = setInterval(step, askIntervalMs);
	timer.unref();
	return () => {
		clearInterval(timer);
	};
}
