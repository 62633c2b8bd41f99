import { Buffer } from "node:buffer";
import { create } from "@bufbuild/protobuf";
import type { AnswerHead } from "../protocol/call.ts";
import {
  type StoredAnswer,
  StoredAnswerSchema,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { singleHeader } from "../transport/http/header_filter.ts";

/** Largest body that is kept for a resend, in bytes. */
export const MAX_STORED_BODY_BYTES = 4 * 1024;

/**
 * Copies an answer while it passes, so that a resend can get it again.
 *
 * @example
 * ```ts ignore
 * copy.add(chunk);
 * const answer = copy.toAnswer(head);
 * ```
 */
export class ResponseRecorder {
  #chunks: Uint8Array[] = [];
  #sizeBytes = 0;

  /**
   * Takes in a part of the body; of a body that is too large nothing is kept.
   *
   * @param chunk The part.
   */
  add(chunk: Uint8Array): void {
    this.#sizeBytes += chunk.length;
    if (this.#sizeBytes <= MAX_STORED_BODY_BYTES) {
      this.#chunks.push(Buffer.from(chunk));
    } else this.#chunks = [];
  }

  /**
   * Returns the copy.
   *
   * @param head Status and headers of the answer.
   * @returns The answer, without a body where that was too large.
   */
  toStoredAnswer(head: AnswerHead): StoredAnswer {
    return create(StoredAnswerSchema, {
      status: head.status,
      contentType: singleHeader(head.headers, "content-type") ?? "",
      body: Buffer.concat(this.#chunks),
      hasBody: this.#sizeBytes <= MAX_STORED_BODY_BYTES,
    });
  }
}
