import { test } from "uvu";
import { testReturns } from "./return_cases.ts";

// Guards against the same in a large fleet, in which two readers in each failure
// domain poll the store for the others, and against calls that grow with it.
testReturns({ size: 92, hasSlowLinks: true }, [300, 4_600]);

test.run();
