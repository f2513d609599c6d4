/** Tells requests with a body from those without. */

/** Whether the request has a body. Reads its first bytes, so the body cannot be read afterwards. */
export async function hasBody({ headers, body }: Request): Promise<boolean> {
  const length = headers.get('content-length');
  if (length !== null) return Number(length) !== 0;
  if (body === null) return false;
  const reader = body.getReader() as ReadableStreamDefaultReader<Uint8Array>;
  try {
    for (;;) {
      const { done, value } = await reader.read();
      if (done) return false;
      if (value.length > 0) return true;
    }
  } catch {
    // The connection ended within the body.
    return true;
  }
}
