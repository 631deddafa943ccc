package cottonlock.proxy.http;

/**
 * A request as it is written to a backend. Fields that are null are left out.
 *
 * @param method as the client sent it
 * @param target in the origin form
 * @param requestId the client's id of the request
 * @param requestClass the name of its class
 * @param tenant the tenant's name
 * @param idempotencyKey by which backends recognise a second execution
 * @param contentType of the body
 * @param body stays the caller's
 */
public record OutboundRequest(
        String method,
        String target,
        String requestId,
        String requestClass,
        String tenant,
        String idempotencyKey,
        String contentType,
        MessageBody body) {}
