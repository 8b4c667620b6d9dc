import {IncomingMessage} from 'node:http';

/** A request with the times for which it may have waited before it was read. */
export class ReceivedRequest extends IncomingMessage {
	acceptWaitMs = 0;
	socketWaitMs = 0;
}
