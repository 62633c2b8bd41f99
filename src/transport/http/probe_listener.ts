import { connect } from "node:net";

/** Whether a process listens at an address. */
export enum ListenerState {
  Accepting = "accepting",
  /** The machine responds and no process listens at the port. */
  Refusing = "refusing",
  /** Nothing responds, so it is not known. */
  Silent = "silent",
}

/**
 * Opens a connection to an address, and closes it at once.
 *
 * @param address IP address and port.
 * @param timeoutMs Time after which the address counts as silent, in ms.
 * @returns Whether a process listens there; never rejects.
 *
 * @example
 * ```ts ignore
 * await probeListener("10.0.0.1:80", 500);
 * ```
 */
export function probeListener(
  address: string,
  timeoutMs: number,
): Promise<ListenerState> {
  const separatorAt = address.lastIndexOf(":");
  const socket = connect({
    host: address.slice(0, separatorAt),
    port: Number(address.slice(separatorAt + 1)),
  });
  return new Promise((resolve) => {
    const end = (state: ListenerState) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(state);
    };
    const timer = setTimeout(() => end(ListenerState.Silent), timeoutMs);
    socket.once("connect", () => end(ListenerState.Accepting));
    socket.on("error", (error: NodeJS.ErrnoException) => {
      const isRefused = error.code === "ECONNREFUSED";
      end(isRefused ? ListenerState.Refusing : ListenerState.Silent);
    });
  });
}
