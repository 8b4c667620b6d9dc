import type {RequestClass} from './shortage-parameters.js';

/** A request that a client sends. */
export type Arrival = {
	readonly at: number;
	readonly dataCentre: string;
	readonly requestClass: RequestClass;
	readonly isImpatient: boolean;
};

/** Options of `planArrivals`. */
export type ArrivalOptions = {
	readonly classes: readonly RequestClass[];
	readonly dataCentres: readonly string[];
	/** Requests of all data centres together. */
	readonly perSecond: number;
	readonly seconds: number;
	readonly burst?: {
		readonly at: number;
		readonly seconds: number;
		readonly factor: number;
	};
	/** Share of the clients that repeat at once. */
	readonly impatientShare: number;
	/** Mean number of further requests that come with one, in every other data centre. */
	readonly clump: number;
	readonly random: () => number;
};

const waveSwing = 0.15;
const wavePeriodS = 10;
const msPerSecond = 1000;

function pickClass(
	classes: readonly RequestClass[],
	random: number,
): RequestClass {
	let sum = 0;
	for (const requestClass of classes) {
		sum += requestClass.share;
		if (random < sum) {
			return requestClass;
		}
	}

	return classes[0]!;
}

/**
 * Plans the requests of all clients: a Poisson process in waves for each data
 * centre, in clumps for every other one.
 *
 * @param options - see `ArrivalOptions`
 * @returns the requests, in order of time for each data centre
 */
export function planArrivals(options: ArrivalOptions): readonly Arrival[] {
	const {classes, dataCentres, perSecond, seconds, burst, random} = options;
	const arrivals: Arrival[] = [];

	function computeFactor(second: number, index: number): number {
		const phase = second / wavePeriodS + index / dataCentres.length;
		const wave = 1 + waveSwing * Math.sin(2 * Math.PI * phase);
		const isBurst =
			burst && second >= burst.at && second < burst.at + burst.seconds;
		return wave * (isBurst ? burst.factor : 1);
	}

	for (const [index, dataCentre] of dataCentres.entries()) {
		const clump = index % 2 === 1 ? options.clump : 0;
		const groupsPerSecond = perSecond / dataCentres.length / (1 + clump);
		let second = 0;
		while (second < seconds) {
			const rate = groupsPerSecond * computeFactor(second, index);
			second += -Math.log(1 - random()) / rate;
			do {
				arrivals.push({
					at: second * msPerSecond,
					dataCentre,
					requestClass: pickClass(classes, random()),
					isImpatient: random() < options.impatientShare,
				});
			} while (random() < clump / (1 + clump));
		}
	}

	return arrivals;
}
