declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";
  export default Client;
}

declare module "undici/lib/dispatcher/pool.js" {
  import { Pool } from "undici";
  export default Pool;
}

declare module "undici/lib/dispatcher/agent.js" {
  import { Agent } from "undici";
  export default Agent;
}

declare module "undici/lib/core/connect.js" {
  import { buildConnector } from "undici";
  export default buildConnector;
}

declare module "undici/lib/api/api-request.js" {
  import type { Dispatcher } from "undici";
  export default function request(
    this: Dispatcher,
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData>;
}
