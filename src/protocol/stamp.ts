/**
 * Type of the stamps that gates hand out with each answer.
 */

/**
 * A point in the life of one gate process.
 *
 * An attempt carries the newest stamp that its sender holds of the gate. The
 * gate runs it only when the stamp is its own and recent, so that it needs to
 * remember an attempt no longer than its stamp is valid.
 */
export type GateStamp = {
	/** Random name of the gate's process. */
	readonly epoch: string;
	/** The gate's monotonic time in ms when it handed out the stamp. */
	readonly timeMs: number;
};
