/** A request on a connection whose response has not been written completely. */
export type PendingRequest = {
	/** Whether the client may send further requests before the response; not so with HTTP/1.0. */
	readonly allowsPipelining: boolean;
};

/** State of a client's connection to a server. */
export type ConnectionState<Request extends PendingRequest> = {
	/** Whether further requests on the connection are handled; once ended, they never are. */
	readonly intake: 'open' | 'ended';
	/** Requests whose responses are owed, in the order in which they were read. */
	readonly pending: readonly Request[];
};

/** Messages to the state machine of a connection. */
export type ConnectionMessage<Request extends PendingRequest> =
	/** A request has been read. */
	| {readonly kind: 'request'; readonly request: Request}
	/** The head of a response is about to be written. */
	| {
			readonly kind: 'head';
			readonly request: Request;
			/** Whether the server or the client wants to close the connection. */
			readonly wantsClose: boolean;
	  }
	/** A response has been written completely. */
	| {readonly kind: 'written'; readonly request: Request}
	/** No further request can be read from the connection: its bytes are malformed, or they have timed out. */
	| {
			readonly kind: 'unreadable';
			/** Whether the body of the last request has not been received completely. */
			readonly isLastPartial: boolean;
	  };

/** What the owner of the socket does after a message. */
export type ConnectionAction =
	/** Nothing special; the head of a response keeps the connection open. */
	| 'continue'
	/** Passes the request to its handler. */
	| 'handle'
	/** Discards the request; its client learns from the end of the connection that it was not handled. */
	| 'discard'
	/** Writes `Connection: close` into the head, and closes the connection after the response. */
	| 'close-after'
	/** Closes the connection, on which no response is owed. */
	| 'close'
	/** Responds that nothing more can be read, and closes the connection. */
	| 'reject';

/** Result of one step of a connection. */
export type ConnectionStep<Request extends PendingRequest> = {
	readonly state: ConnectionState<Request>;
	readonly action: ConnectionAction;
};
