import winston from "winston";
import Transport from "winston-transport";
import { DescriptorWriter } from "./descriptor_writer.ts";
import type { LineSink } from "./event_log.ts";

const MESSAGE = Symbol.for("message");

class DescriptorTransport extends Transport {
  readonly #writer: DescriptorWriter;

  constructor(file: string | undefined) {
    super();
    this.#writer = new DescriptorWriter(file);
  }

  override log(info: { [MESSAGE]?: string }, next: () => void): void {
    this.#writer.write(info[MESSAGE] ?? "");
    next();
  }

  override close(): void {
    this.#writer.close();
  }
}

/**
 * Writes lines through winston, so that users may add its transports.
 *
 * @example
 * ```ts ignore
 * const log = new EventLog({ sink: new WinstonSink("daemon.log") });
 * ```
 */
export class WinstonSink implements LineSink {
  readonly #logger: winston.Logger;

  /**
   * Opens a sink.
   *
   * @param file File to append to; standard output if omitted.
   */
  constructor(file?: string) {
    this.#logger = winston.createLogger({
      format: winston.format.printf((info) => String(info.message)),
      transports: [new DescriptorTransport(file)],
    });
  }

  write(lines: string): void {
    this.#logger.info(lines);
  }

  close(): void {
    this.#logger.close();
  }
}
