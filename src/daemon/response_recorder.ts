import { Buffer } from "node:buffer";
import { create } from "@bufbuild/protobuf";
import type { AnswerHead } from "../protocol/call.ts";
import {
  type StoredAnswer,
  StoredAnswerSchema,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { singleHeader } from "../transport/http/header_filter.ts";

/** Largest body that is stored for replay, in bytes. */
export const MAX_STORED_BODY_BYTES = 4 * 1024;

/**
 * Records a response while it is forwarded, to replay it if the request is sent
 * again.
 *
 * @example
 * ```ts ignore
 * recorder.add(chunk);
 * const stored = recorder.toStoredAnswer(head);
 * ```
 */
export class ResponseRecorder {
  #chunks: Uint8Array[] = [];
  #sizeBytes = 0;

  /**
   * Records a part of the body; a body that is too large is not stored.
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
   * Returns the recorded response.
   *
   * @param head Status and headers of the response.
   * @returns The response, without the body if that was too large.
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
