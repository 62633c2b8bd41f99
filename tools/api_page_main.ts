import { writeFileSync } from "node:fs";
import { formatApiPage, listApi } from "./api_page.ts";

writeFileSync("docs/API.md", formatApiPage(listApi()));
