/** Refuses bodies that are too large. */
import type { Context, MiddlewareHandler } from 'hono';
import { bodyLimit } from 'hono/body-limit';

const contentLengthHeader = 'content-length';
const transferEncodingHeader = 'transfer-encoding';

/**
 * Refuses bodies over the limit. The length that a caller announces is held to by the
 * HTTP parser, so that only bodies without one are counted as they arrive.
 */
export function limitBody(
  maximumBytes: number,
  refuse: (context: Context) => Response,
): MiddlewareHandler {
  const countBody = bodyLimit({ maxSize: maximumBytes, onError: refuse });
  return async (context, next) => {
    const announced = context.req.header(contentLengthHeader);
    const isChunked = context.req.header(transferEncodingHeader) !== undefined;
    if (announced === undefined || isChunked) return countBody(context, next);
    if (Number(announced) > maximumBytes) return refuse(context);
    return next();
  };
}
