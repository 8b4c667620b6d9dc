/**
 * Headers by which the load generator tells a chain of upstreams what to do.
 */

/** `direct` or `mesh`: how the next service is called. */
export const benchModeHeader = 'x-bench-mode';
/** Calls left to make, this one included. */
export const benchDepthHeader = 'x-bench-depth';
