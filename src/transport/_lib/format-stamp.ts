import type {GateStamp} from '../../protocol/stamp.js';

/**
 * Formats a gate's stamp as the value of the stamp header.
 *
 * @param stamp - the stamp
 * @returns `time/epoch`
 */
export function formatStamp(stamp: GateStamp): string {
	return `${stamp.timeMs}/${stamp.epoch}`;
}
