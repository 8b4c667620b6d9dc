import {decodeValue, type Decoded} from '../../protocol/decode-value.js';
import {
	senderSchema,
	type EncodedSender,
	type Sender,
} from '../../protocol/member.js';

/** Decodes the sender of a message; its incarnation stands in for an unreadable start time, as it begins with that. */
export function decodeSender(sender: EncodedSender): Decoded<Sender> {
	const {value: startedMs = sender.incarnation, unreadable} = decodeValue(
		senderSchema.shape.startedMs,
		sender.startedMs,
		'from.startedMs',
	);
	return {value: {...sender, startedMs}, unreadable};
}
