import {err, ok, type Result} from 'neverthrow';
import {exchangeTimeoutMs} from '../../protocol/constants.js';
import {
	rolloutAnswerSchema,
	type RolloutAnswer,
	type RolloutReport,
} from '../../protocol/rollout.js';

/** Clients of other nodes, as far as this task uses them. */
export type RolloutPeers = {
	getClient(address: string): {
		readonly rollout: {
			mutate(
				report: RolloutReport,
				options: {readonly signal: AbortSignal},
			): Promise<unknown>;
		};
	};
};

/**
 * Sends a report to the leader of roll-outs.
 *
 * @param peers - clients of other nodes
 * @param address - address of the leader
 * @param report - the report
 * @returns the answer, or why there is none
 */
export async function sendRolloutReport(
	peers: RolloutPeers,
	address: string,
	report: RolloutReport,
): Promise<Result<RolloutAnswer, string>> {
	try {
		const signal = AbortSignal.timeout(exchangeTimeoutMs);
		const answer = await peers
			.getClient(address)
			.rollout.mutate(report, {signal});
		return ok(rolloutAnswerSchema.parse(answer));
	} catch (error) {
		return err(String(error));
	}
}
