/** Limits the size of request bodies. */
import type { Context, MiddlewareHandler } from 'hono';
import { bodyLimit } from 'hono/body-limit';

const contentLengthHeader = 'content-length';
const transferEncodingHeader = 'transfer-encoding';

/**
 * Refuses bodies over the limit. The HTTP parser enforces the Content-Length header,
 * so bytes are counted on arrival only for bodies without that header.
 */
export function limitBody(
  maximumBytes: number,
  refuse: (context: Context) => Response,
): MiddlewareHandler {
  const countBody = bodyLimit({ maxSize: maximumBytes, onError: refuse });
  return async (context, next) => {
    const length = context.req.header(contentLengthHeader);
    const isChunked = context.req.header(transferEncodingHeader) !== undefined;
    if (length === undefined || isChunked) return countBody(context, next);
    if (Number(length) > maximumBytes) return refuse(context);
    return next();
  };
}
