import {computeQuarantineDigest} from '../coordination/compute-quarantine-digest.js';
import {decideSuspicion} from '../coordination/decide-suspicion.js';
import {encodeCrashRecord} from '../coordination/encode-crash-record.js';
import {listBySeverity} from '../coordination/list-by-severity.js';
import {pickCrashReceivers} from '../coordination/pick-crash-receivers.js';
import {
	noSuspicion,
	type CrashRecord,
	type QuarantineMessage,
	type QuarantineState,
	type RunningRequest,
	type Suspicion,
} from '../coordination/quarantine-state.js';
import {stepQuarantine} from '../coordination/step-quarantine.js';
import {
	crashSpreadDelayMs,
	exchangeTimeoutMs,
	maxCrashRecordsPerMessage,
	maxCrashRecordsSpreadPerSecond,
	membersPeriodMs,
	msPerMinute,
	msPerSecond,
	spreadFanOut,
} from '../protocol/constants.js';
import {
	crashExchangeAnswerSchema,
	type CrashExchange,
	type CrashExchangeAnswer,
} from '../protocol/crash-record.js';
import type {Member, MembersView} from '../protocol/member.js';
import {decodeCrashRecords} from '../state/decode-crash-records.js';
import {createRecentSet} from './_lib/create-recent-set.js';
import {createProblemLog} from './_lib/create-problem-log.js';
import type {Logger} from './create-logger.js';

/** Clients of other nodes, as far as this task uses them. */
export type QuarantinePeers = {
	getClient(address: string): {
		readonly crashes: {
			mutate(
				exchange: CrashExchange,
				options: {readonly signal: AbortSignal},
			): Promise<unknown>;
		};
	};
};

/** Options of `startQuarantineTask`. */
export type QuarantineTaskOptions = {
	readonly name: string;
	readonly dataCentre: string;
	readonly peers: QuarantinePeers;
	readonly logger: Logger;
	/** Monotonic time, ms; default `performance.now`. */
	readonly now?: () => number;
	/** Returns a number from 0 up to, but not including, 1; default `Math.random`. */
	readonly random?: () => number;
};

/** What caller and gate tasks use of the quarantine. */
export type RequestQuarantine = {
	/** Whether anything is known about any request; as long as not, no fingerprint is needed. */
	hasRecords(): boolean;
	/** Tells whether a request may be sent to upstreams of a software version, or to some upstream when that is absent; a request without a fingerprint may. */
	readSuspicion(fingerprint: string | undefined, version?: string): Suspicion;
	/** Records that an upstream of this host, of a software version, has crashed while it ran requests. */
	recordCrash(
		id: string,
		running: readonly RunningRequest[],
		version?: string,
	): void;
	/** Records that an upstream of a software version has answered a request. */
	recordCompletion(fingerprint: string | undefined, version?: string): void;
	/** Records that an upstream of this host runs a software version. */
	recordVersion(service: string, version: string): void;
};

/** Task that keeps what is known about requests that crash their upstreams, and tells the other nodes. */
export type QuarantineTask = RequestQuarantine & {
	handleExchange(exchange: CrashExchange): CrashExchangeAnswer;
	/** Returns the digest of all records, for the probes of members. */
	readDigest(): number;
	/** Exchanges records with a node whose digest differs, at most once a second. */
	compareDigest(address: string, digest: number): void;
	updateMembers(view: MembersView): void;
	/** Whether the records of the nodes that were found first have been asked for, and have come or not. */
	hasAsked(): boolean;
	/** Returns the number of requests in quarantine. */
	readQuarantined(): number;
	stop(): void;
};

/** Where a record was changed that is to be passed on; other data centres are told only of changes of this host. */
type ChangeSource = 'local' | 'remote';

/** A changed record that is passed on. */
type ChangedRecord = {
	readonly record: CrashRecord;
	readonly source: ChangeSource;
};

/** Time for which records are not exchanged again after that has changed nothing, ms. */
const fruitlessSyncMs = msPerMinute / 2;
const maxFruitlessSyncs = 64;

function formatDigests(own: number, other: number): string {
	return `${own} ${other}`;
}

function formatEndReason(
	{kind}: Suspicion,
	record: CrashRecord | undefined,
): 'answered' | 'new-version' | 'expired' {
	if (kind === 'none') {
		return 'answered';
	}

	return record && record.versions.size > 0 ? 'new-version' : 'expired';
}

/**
 * Starts the task that keeps the quarantine of a node.
 *
 * A change is passed on to a few nodes at once, each of which passes it on once.
 * Who missed it finds out by the digest that the probes of members carry.
 *
 * @param options - see `QuarantineTaskOptions`
 * @returns the running task
 * @example
 * startQuarantineTask({name, dataCentre, peers, logger}).readSuspicion('a').kind; // 'none'
 */
export function startQuarantineTask(
	options: QuarantineTaskOptions,
): QuarantineTask {
	const {name, dataCentre, peers, logger} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	/** Fingerprints of changed records that are to be passed on. */
	const pending = new Map<string, ChangeSource>();
	const quarantined = new Set<string>();
	const logUnreadable = createProblemLog({
		logger,
		message: 'part of a message not readable',
		now,
	});
	/** Pairs of digests that a sync has not made equal. */
	const fruitlessSyncs = createRecentSet({
		retentionMs: fruitlessSyncMs,
		maxKeys: maxFruitlessSyncs,
		now,
	});
	let state: QuarantineState = new Map();
	let digest: number | undefined = 0;
	let others: readonly Member[] = [];
	let spreadTimer: NodeJS.Timeout | undefined;
	let windowStartedAt = Number.NEGATIVE_INFINITY;
	let spreadInWindow = 0;
	let askState: 'new' | 'asking' | 'asked' = 'new';
	let lastSyncAt = Number.NEGATIVE_INFINITY;
	let isStopped = false;

	function dispatch(message: QuarantineMessage): void {
		const step = stepQuarantine(state, message, now(), random);
		if (step.state !== state) {
			state = step.state;
			digest = undefined;
		}

		for (const {fingerprint} of step.changed) {
			updateQuarantined(fingerprint);
		}

		const source = message.kind === 'received' ? 'remote' : 'local';
		for (const {fingerprint} of step.changed) {
			pending.set(fingerprint, source);
		}

		scheduleSpread(crashSpreadDelayMs);
	}

	/** Takes in the records of another node, as received, and returns their number. */
	function receive(source: string, encoded: unknown): number {
		const {value: records, unreadable} = decodeCrashRecords(encoded);
		logUnreadable(unreadable, source);
		dispatch({kind: 'received', records});
		return records.length;
	}

	/** Logs when a request is quarantined, and when it no longer is. */
	function updateQuarantined(fingerprint: string): void {
		const record = state.get(fingerprint);
		const suspicion = decideSuspicion(record, now());
		if (suspicion.kind === 'quarantined') {
			if (!quarantined.has(fingerprint)) {
				quarantined.add(fingerprint);
				logger.warn('request quarantined', {
					fingerprint,
					service: record!.service,
					crashes: [...record!.crashes.keys()],
					durationMs: Math.round(suspicion.remainingMs),
				});
			}
		} else if (quarantined.delete(fingerprint)) {
			logger.info('quarantine ended', {
				fingerprint,
				reason: formatEndReason(suspicion, record),
			});
		}
	}

	function scheduleSpread(delayMs: number): void {
		if (pending.size > 0 && !spreadTimer && !isStopped) {
			spreadTimer = setTimeout(spread, delayMs);
			spreadTimer.unref();
		}
	}

	/** Takes the pending records that may be passed on within this second; the others wait, the least severe longest. */
	function takePending(): readonly ChangedRecord[] {
		const at = now();
		if (at - windowStartedAt >= msPerSecond) {
			windowStartedAt = at;
			spreadInWindow = 0;
		}

		const records: CrashRecord[] = [];
		for (const fingerprint of pending.keys()) {
			const record = state.get(fingerprint);
			if (record) {
				records.push(record);
			} else {
				// It has been evicted meanwhile.
				pending.delete(fingerprint);
			}
		}

		const taken = listBySeverity(records, random)
			.slice(0, maxCrashRecordsSpreadPerSecond - spreadInWindow)
			.map((record) => ({record, source: pending.get(record.fingerprint)!}));
		spreadInWindow += taken.length;
		for (const {record} of taken) {
			pending.delete(record.fingerprint);
		}

		return taken;
	}

	function spread(): void {
		spreadTimer = undefined;
		const taken = takePending();
		const {near, far} = pickCrashReceivers(others, dataCentre, random);
		const records = taken.map(({record}) => record);
		const local = taken
			.filter(({source}) => source === 'local')
			.map(({record}) => record);
		for (const {address} of near) {
			void send(address, records, false);
		}

		for (const {address} of far) {
			void send(address, local, false);
		}

		scheduleSpread(msPerSecond);
	}

	async function send(
		address: string,
		records: readonly CrashRecord[],
		wantsRecords: boolean,
	): Promise<number | undefined> {
		if (records.length === 0 && !wantsRecords) {
			return undefined;
		}

		const at = now();
		try {
			const answer = crashExchangeAnswerSchema.parse(
				await peers.getClient(address).crashes.mutate(
					{
						records: records.map((record) => encodeCrashRecord(record, at)),
						wantsRecords,
					},
					{signal: AbortSignal.timeout(exchangeTimeoutMs)},
				),
			);
			return receive(address, answer.records);
		} catch (error) {
			logger.debug('crash records not sent', {address, error: String(error)});
			return undefined;
		}
	}

	/** Exchanges records with a node that has another digest. */
	async function sync(address: string, other: number): Promise<void> {
		const own = readDigest();
		const isWhole = state.size <= maxCrashRecordsPerMessage;
		const received = await send(address, selectRecords(), true);
		const hasReceivedAll =
			received !== undefined && received < maxCrashRecordsPerMessage;
		if (isWhole && hasReceivedAll && readDigest() === own) {
			// One of the nodes cannot read or keep what the other one knows.
			fruitlessSyncs.add(formatDigests(own, other));
		}
	}

	/** Asks some of the nodes that were found first for what they know. */
	async function askOthers(): Promise<void> {
		askState = 'asking';
		const {near, far} = pickCrashReceivers(others, dataCentre, random);
		const receivers = [...near, ...far].slice(0, spreadFanOut);
		await Promise.all(
			receivers.map(async ({address}) => send(address, selectRecords(), true)),
		);
		askState = 'asked';
	}

	function selectRecords(): readonly CrashRecord[] {
		return listBySeverity(state.values(), random).slice(
			0,
			maxCrashRecordsPerMessage,
		);
	}

	function readDigest(): number {
		digest ??= computeQuarantineDigest(state);
		return digest;
	}

	const tickTimer = setInterval(() => {
		if (state.size > 0) {
			dispatch({kind: 'tick'});
			for (const fingerprint of quarantined) {
				updateQuarantined(fingerprint);
			}
		}
	}, membersPeriodMs);
	tickTimer.unref();

	return {
		hasRecords: () => state.size > 0,
		readSuspicion(fingerprint, version) {
			return fingerprint === undefined
				? noSuspicion
				: decideSuspicion(state.get(fingerprint), now(), version);
		},
		recordCrash(id, running, version) {
			dispatch({kind: 'crashed', id, running, version});
		},
		recordCompletion(fingerprint, version) {
			if (fingerprint !== undefined && state.has(fingerprint)) {
				dispatch({kind: 'completed', fingerprint, version});
			}
		},
		recordVersion(service, version) {
			if (state.size > 0) {
				dispatch({kind: 'announced', service, version});
			}
		},
		handleExchange({records, wantsRecords}) {
			receive('request', records);
			const at = now();
			return {
				records:
					wantsRecords === true
						? selectRecords().map((record) => encodeCrashRecord(record, at))
						: [],
			};
		},
		readDigest,
		compareDigest(address, other) {
			const at = now();
			const own = readDigest();
			const isDue = other !== own && at - lastSyncAt >= msPerSecond;
			if (isDue && !fruitlessSyncs.has(formatDigests(own, other))) {
				lastSyncAt = at;
				void sync(address, other);
			}
		},
		updateMembers({members}) {
			others = members.filter(
				(member) => member.state === 'alive' && member.name !== name,
			);
			if (askState === 'new' && others.length > 0) {
				void askOthers();
			}
		},
		hasAsked: () => askState === 'asked' || others.length === 0,
		readQuarantined: () => quarantined.size,
		stop() {
			isStopped = true;
			clearTimeout(spreadTimer);
			clearInterval(tickTimer);
		},
	};
}
