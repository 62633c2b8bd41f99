// Replaces `node:assert` in the bundled daemons. Where an assertion without a
// message fails, Node.js parses the source file of the program to quote it. That
// takes time which grows with the square of the length of a line, and a bundle
// has lines of hundreds of kilobytes: the daemon stood still for seconds.
"use strict";

class AssertionError extends Error {
  constructor(message) {
    super(message);
    this.name = "AssertionError";
    this.code = "ERR_ASSERTION";
  }
}

module.exports = function assert(value, message) {
  if (value) return;
  if (message instanceof Error) throw message;
  throw new AssertionError(message ?? "an assertion failed");
};
