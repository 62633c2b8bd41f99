import { isIP } from "node:net";

/** Longest host name that is accepted, in characters. */
const MAX_HOST_CHARS = 253;
const MAX_PORT = 65_535;
const HOST_NAME = /^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/i;
/** An IPv4 address that is out of range would pass for a host name. */
const NUMERIC_HOST = /^[\d.]+$/;

/**
 * Reports whether a text is a host and a port to which a connection can be
 * opened.
 *
 * @param text An IPv4 address, an IPv6 address in brackets or a host name, with
 * a port behind a colon.
 * @returns Whether it is.
 *
 * @example
 * ```ts
 * isAddress("10.0.0.1:7600"); // true
 * isAddress("10.0.0.1:99999"); // false
 * ```
 */
export function isAddress(text: string): boolean {
  const separatorAt = text.lastIndexOf(":");
  if (separatorAt < 0) return false;
  const port = text.slice(separatorAt + 1);
  const isPort = /^\d{1,5}$/.test(port) && Number(port) > 0 &&
    Number(port) <= MAX_PORT;
  return isPort && isHost(text.slice(0, separatorAt));
}

function isHost(host: string): boolean {
  if (host.startsWith("[") && host.endsWith("]")) {
    return isIP(host.slice(1, -1)) === 6;
  }
  if (NUMERIC_HOST.test(host)) return isIP(host) === 4;
  return host.length <= MAX_HOST_CHARS && HOST_NAME.test(host);
}
