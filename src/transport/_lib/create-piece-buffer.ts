import {Buffer} from 'node:buffer';

/** Bytes of a body that arrive in pieces of any size. */
export type PieceBuffer = {
	/** Adds a piece, which must not be changed afterwards. */
	add(piece: Uint8Array): void;
	/** Returns the number of bytes held. */
	readSize(): number;
	/** Returns a copy of the first bytes; fewer if fewer are held. */
	copyFirst(maxBytes: number): Uint8Array;
	/** Removes and returns all bytes. */
	take(): Uint8Array;
};

/** Length from which a piece is kept instead of copied; the buffer object of a shorter one may take more memory than its bytes. */
const minKeptPieceBytes = 1024;

/** First and maximum length of a block into which short pieces are copied. */
const minBlockBytes = 256;
const maxBlockBytes = 16_384;

/** Bytes of a body. Most bodies are one piece, for which nothing else is created. */
class Pieces implements PieceBuffer {
	#size = 0;
	#blocks: Uint8Array[] | undefined;
	#single: Uint8Array | undefined;
	/** The block into which short pieces are copied, and its used length. */
	#block: Uint8Array | undefined;
	#blockSize = 0;

	add(piece: Uint8Array): void {
		if (this.#size === 0) {
			this.#single = piece;
		} else {
			this.#addFurther(piece);
		}

		this.#size += piece.length;
	}

	readSize(): number {
		return this.#size;
	}

	copyFirst(maxBytes: number): Uint8Array {
		const bytes = this.take();
		this.add(bytes);
		return Uint8Array.prototype.slice.call(bytes, 0, maxBytes);
	}

	take(): Uint8Array {
		const bytes = this.#single ?? this.#concatenate();
		this.#single = undefined;
		this.#blocks = undefined;
		this.#size = 0;
		return bytes;
	}

	#addFurther(piece: Uint8Array): void {
		this.#blocks ??= [];
		if (this.#single) {
			this.#blocks.push(this.#single);
			this.#single = undefined;
		}

		if (piece.length >= minKeptPieceBytes) {
			this.#closeBlock();
			this.#blocks.push(piece);
		} else {
			this.#copyIntoBlock(piece);
		}
	}

	#copyIntoBlock(piece: Uint8Array): void {
		if (!this.#block || this.#blockSize + piece.length > this.#block.length) {
			const length = Math.min(2 * (this.#block?.length ?? 0), maxBlockBytes);
			this.#closeBlock();
			this.#block = Buffer.allocUnsafeSlow(
				Math.max(length, piece.length, minBlockBytes),
			);
		}

		this.#block.set(piece, this.#blockSize);
		this.#blockSize += piece.length;
	}

	/** Ends the block that is being filled; an almost empty one is not kept at its full length. */
	#closeBlock(): void {
		if (!this.#block) {
			return;
		}

		const filled = this.#block.subarray(0, this.#blockSize);
		if (2 * this.#blockSize < this.#block.length) {
			const copy = Buffer.allocUnsafeSlow(this.#blockSize);
			copy.set(filled);
			this.#blocks?.push(copy);
		} else {
			this.#blocks?.push(filled);
		}

		this.#block = undefined;
		this.#blockSize = 0;
	}

	#concatenate(): Uint8Array {
		this.#closeBlock();
		return Buffer.concat(this.#blocks ?? []);
	}
}

/**
 * Creates an empty buffer for a body.
 *
 * Each piece that Node.js reads is an object of about 200 bytes, however short
 * the piece is. Short pieces are therefore copied into blocks, so that memory use
 * follows the number of bytes and not the number of pieces.
 *
 * @returns the buffer
 */
export function createPieceBuffer(): PieceBuffer {
	return new Pieces();
}
