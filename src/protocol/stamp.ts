/**
 * Type of the stamps that gates issue with each response.
 */

/**
 * A point in time on the monotonic clock of one gate process.
 *
 * An attempt carries the newest stamp of the gate that its sender has. The gate
 * runs the attempt only if the gate process itself issued the stamp recently, so
 * that it has to record an attempt only while its stamp is valid.
 */
export type GateStamp = {
	/** Random identifier of the gate process. */
	readonly epoch: string;
	/** When the gate issued the stamp, ms on its monotonic clock. */
	readonly timeMs: number;
};
